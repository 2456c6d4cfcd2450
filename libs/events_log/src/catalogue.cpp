#include "event_numbers/event_numbers.hpp"
#include "events_log/events_log.hpp"

namespace cicada
{

std::vector<event_entry> const& event_catalogue()
{
    using enum event_level;
    static std::vector<event_entry> const entries{
        {events::unlisted_event, error, "event without an entry"},
        {events::process_started, info, "started"},
        {events::process_ready, info, "ready"},
        {events::settings_rejected, error, "settings refused"},
        {events::listen_failed, error, "can't listen"},
        {events::shutdown_started, info, "shutting down"},
        {events::shutdown_completed, info, "shutdown complete"},
        {events::shutdown_incomplete, error, "shutdown cut short"},
        {events::settings_reloaded, info, "settings reloaded"},
        {events::configuration_applied, info, "configuration in force"},
        {events::configuration_rejected, warning, "configuration refused"},
        {events::log_lines_dropped, warning, "log lines left out"},
        {events::placement_started, info, "placing started"},
        {events::placement_stopped, warning, "placing stopped"},
        {events::store_lease_granted, info, "store lease granted"},
        {events::store_lease_ended, warning, "store lease ended"},
        {events::placer_claim_lost, warning, "placer claim lost"},
        {events::peer_up, info, "peer up"},
        {events::peer_down, warning, "peer down"},
        {events::peer_rejected, warning, "peer refused"},
        {events::table_proposed, info, "table proposed"},
        {events::shards_gained, info, "shards gained"},
        {events::shards_lost, info, "shards lost"},
        {events::shard_ready, info, "shard ready"},
        {events::own_lease_lost, warning, "own lease lost"},
        {events::members_changed, info, "members changed"},
        {events::note_applied, info, "note in force"},
        {events::note_rejected, warning, "note refused"},
        {events::note_published, info, "note published"},
        {events::operator_rejected, warning, "operator refused"},
        {events::request_outcome_unknown, warning, "request settled unknown"},
        {events::attempt_unresponsive, warning, "attempt silent"},
        {events::agent_out_of_rotation, warning, "agent out of rotation"},
        {events::agent_back_in_rotation, info, "agent back"},
        {events::stale_epoch_rejected, warning, "stale epoch refused"},
        {events::store_unavailable, error, "store down"},
        {events::store_available, info, "store up"},
        {events::intent_write_unknown, warning, "intent write unknown"},
        {events::store_budget_exhausted, warning, "store budget spent"},
        {events::job_accepted, info, "job accepted"},
        {events::job_finished, info, "job finished"},
        {events::job_lost, warning, "job lost"},
        {events::task_preempted, info, "task displaced"},
        {events::job_unschedulable, warning, "job can't run"},
        {events::task_started, info, "task started"},
        {events::job_rejected, info, "job refused"},
        {events::job_submitted, info, "job handed in"},
        {events::cancel_submitted, info, "cancel handed in"},
        {events::job_outcome_unknown,
         warning,
         "job's fate unknown to its caller"},
        {events::task_failed, warning, "task failed"},
        {events::run_lost, warning, "run lost"},
        {events::worker_state_changed, info, "worker changed"},
        {events::start_rejected, warning, "start refused"},
        {events::advice_failed, warning, "advice failed"},
        {events::worker_entry_rejected, warning, "worker entry refused"},
        {events::cell_load, info, "cell load"},
        {events::malformed_link_message, warning, "malformed link message"},
        {events::malformed_answer, warning, "malformed answer"},
    };
    return entries;
}

} // namespace cicada
