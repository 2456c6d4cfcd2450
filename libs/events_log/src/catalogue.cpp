#include "events_log/events_log.hpp"

namespace cicada
{

std::vector<event_entry> const& event_catalogue()
{
    using enum event_level;
    static std::vector<event_entry> const entries{
        {1, error, "event without an entry"},
        {100, info, "started"},
        {101, info, "ready"},
        {102, error, "settings refused"},
        {103, error, "can't listen"},
        {110, info, "shutting down"},
        {111, info, "shutdown complete"},
        {112, error, "shutdown cut short"},
        {113, info, "settings reloaded"},
        {114, info, "configuration in force"},
        {115, warning, "configuration refused"},
        {120, warning, "log lines left out"},
        {130, info, "placing started"},
        {131, warning, "placing stopped"},
        {132, info, "store lease granted"},
        {133, warning, "store lease ended"},
        {134, warning, "placer claim lost"},
        {200, info, "peer up"},
        {201, warning, "peer down"},
        {202, warning, "peer refused"},
        {210, info, "table proposed"},
        {211, info, "shards gained"},
        {212, info, "shards lost"},
        {213, info, "shard ready"},
        {214, warning, "own lease lost"},
        {220, info, "members changed"},
        {300, info, "note in force"},
        {301, warning, "note refused"},
        {302, info, "note published"},
        {303, warning, "operator refused"},
        {400, warning, "request settled unknown"},
        {401, warning, "attempt silent"},
        {410, warning, "agent out of rotation"},
        {411, info, "agent back"},
        {412, warning, "stale epoch refused"},
        {500, error, "store down"},
        {501, info, "store up"},
        {502, warning, "intent write unknown"},
        {503, warning, "store budget spent"},
        {600, info, "job accepted"},
        {601, info, "job finished"},
        {602, warning, "job lost"},
        {603, info, "task displaced"},
        {604, warning, "job can't run"},
        {605, info, "task started"},
        {606, info, "job refused"},
        {607, info, "job handed in"},
        {608, info, "cancel handed in"},
        {609, warning, "job's fate unknown to its caller"},
        {610, warning, "task failed"},
        {611, warning, "run lost"},
        {612, info, "worker changed"},
        {613, warning, "start refused"},
        {614, warning, "advice failed"},
        {615, warning, "worker entry refused"},
        {616, info, "cell load"},
        {700, warning, "malformed link message"},
        {701, warning, "malformed answer"},
    };
    return entries;
}

} // namespace cicada
