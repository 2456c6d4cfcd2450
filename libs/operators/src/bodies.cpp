#include "bodies.hpp"

#include <nlohmann/json.hpp>

namespace cicada
{
namespace
{

using json = nlohmann::json;

std::string dump(json const& value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace);
}

json to_json_value(resources const& amount)
{
    return {{"cores", static_cast<double>(amount.milli_cores) / 1'000.0},
            {"memory_mib", amount.memory_mib},
            {"accelerators", amount.accelerators}};
}

json to_json_value(daemon_row const& row)
{
    return {{"name", row.who.name.value},
            {"zone", row.who.zone.value},
            {"operators", to_string(row.who.operators)},
            {"leaving", row.who.leaving},
            {"note_number", row.note_number},
            {"reachable", row.reachable}};
}

json to_json_value(text_problem const& problem)
{
    return {{"line", problem.line},
            {"section", problem.section},
            {"key", problem.key},
            {"message", problem.message},
            {"allowed", problem.allowed},
            {"nearest", problem.nearest}};
}

json to_json_value(published_note const& note)
{
    return {{"number", note.number},
            {"id", note.id},
            {"title", note.title},
            {"author", note.author},
            {"reason", note.reason},
            {"published_at", note.published_at},
            {"text", note.text}};
}

template <class Value>
json to_json_list(std::vector<Value> const& values)
{
    json list = json::array();
    for (Value const& each : values)
    {
        list.push_back(to_json_value(each));
    }
    return list;
}

/** Whether no worker seen here has room for one task of it. */
bool fits_nowhere(operators_view const& view, workload const& value)
{
    if (value.kind == workload_kind::request || view.state.workers.empty())
    {
        return false;
    }
    for (instance const& worker : view.state.workers)
    {
        if (fits(value.size, worker.capacity))
        {
            return false;
        }
    }
    return true;
}

json preview_warnings(operators_view const& view, cell_config const& after)
{
    json warnings = json::array();
    for (std::map<workload_id, workload>::value_type const& each :
         after.workloads)
    {
        if (fits_nowhere(view, each.second))
        {
            warnings.push_back("No worker of " + view.self.name.value +
                               " is large enough for a task of " +
                               each.first.value + ".");
        }
    }
    for (job_record const& job : view.state.jobs)
    {
        if (after.workloads.count(job.workload) == 0)
        {
            warnings.push_back(
                "The job " + job.name.value + " of the withdrawn workload " +
                job.workload.value + " is " + to_string(job.state) + ".");
        }
    }
    return warnings;
}

} // namespace

std::string status_body(operators_view const& view)
{
    return dump({{"daemon", view.self.name.value},
                 {"zone", view.self.zone.value},
                 {"store_up", view.store_up},
                 {"leaving", view.state.leaving},
                 {"note_number", view.state.note_number},
                 {"table_version", view.state.table_version},
                 {"shards_owned", view.state.owned.size()},
                 {"shards_ready", view.state.ready.size()},
                 {"workers", view.state.workers.size()},
                 {"endpoints", view.state.endpoints.size()},
                 {"requests_in_flight", view.state.requests_in_flight},
                 {"requests_queued", view.state.requests_queued},
                 {"slots_taken", view.state.slots_taken},
                 {"jobs", view.state.jobs.size()},
                 {"daemons", to_json_list(view.daemons)}});
}

std::string instances_body(std::vector<instance> const& list)
{
    json rows = json::array();
    for (instance const& each : list)
    {
        json row{{"name", each.name},
                 {"zone", each.zone.value},
                 {"shard", each.shard.value},
                 {"address", to_string(each.where)},
                 {"leaving", each.leaving}};
        if (each.kind == instance_kind::worker)
        {
            row["capacity"] = to_json_value(each.capacity);
        }
        else
        {
            row["pool"] = each.pool.value;
            row["slots"] = each.slots;
        }
        rows.push_back(row);
    }
    return dump(rows);
}

std::string jobs_body(std::vector<job_record> const& jobs)
{
    json rows = json::array();
    for (job_record const& job : jobs)
    {
        rows.push_back({{"name", job.name.value},
                        {"tenant", job.tenant.value},
                        {"workload", job.workload.value},
                        {"class", to_string(job.urgency)},
                        {"state", to_string(job.state)},
                        {"tasks", job.tasks.size()},
                        {"home", job.home.value}});
    }
    return dump(rows);
}

std::string notes_body(std::vector<published_note> const& notes)
{
    return dump(to_json_list(notes));
}

std::string problem_body(std::string const& code, std::string const& detail)
{
    return dump({{"code", code}, {"detail", detail}});
}

std::string publish_body(publish_answer const& answer)
{
    return dump({{"outcome", to_string(answer.outcome)},
                 {"number", answer.number},
                 {"problems", to_json_list(answer.problems)},
                 {"since", to_json_list(answer.since)},
                 {"message", answer.message}});
}

std::string
preview_body(operators_view const& view, std::string const& text, int& status)
{
    checked<release_note> const note = parse_note(text);
    checked<cell_config> const after =
        note.has_value() ? apply_note(view.config, note.assume_value())
                         : checked<cell_config>(note.assume_error());
    if (!after.has_value())
    {
        status = 422;
        return dump({{"head", view.config.note_number},
                     {"problems", to_json_list(after.assume_error())}});
    }
    status = 200;
    return dump({{"head", view.config.note_number},
                 {"changes", describe_note(note.assume_value(), &view.config)},
                 {"warnings", preview_warnings(view, after.assume_value())}});
}

int status_of(publish_outcome outcome)
{
    switch (outcome)
    {
    case publish_outcome::published:
        return 201;
    case publish_outcome::repeated:
        return 200;
    case publish_outcome::refused:
        return 422;
    case publish_outcome::conflict:
        return 409;
    case publish_outcome::failed:
        return 503;
    case publish_outcome::unknown:
        return 504;
    }
    return 500;
}

bool same_token(std::string const& given, std::string const& token)
{
    unsigned int difference = given.size() == token.size() ? 0U : 1U;
    for (std::size_t index = 0; index < given.size(); ++index)
    {
        char const expected =
            token.empty() ? '\0' : token[index % token.size()];
        difference |= static_cast<unsigned char>(given[index]) ^
                      static_cast<unsigned char>(expected);
    }
    return difference == 0U && !token.empty();
}

} // namespace cicada
