#include "job_model/job_model.hpp"

#include <nlohmann/json.hpp>

namespace cicada::batch
{

namespace
{

using nlohmann::json;

constexpr int record_version = 1;
/** Version 1 listed the failed runs of every task. */
constexpr int progress_version = 2;

json to_json(task_step const& step)
{
    return json{{"n", step.count},
                {"c", step.size.milli_cores},
                {"m", step.size.memory_mib},
                {"g", step.size.accelerators},
                {"e", step.estimate.count()},
                {"a", step.after},
                {"all", step.gang},
                {"rack", step.same_rack},
                {"ck", step.checkpointing},
                {"l", step.required_label},
                {"d", step.data_rack},
                {"pw", step.per_worker}};
}

task_step to_step(json const& from)
{
    task_step step;
    from.at("n").get_to(step.count);
    from.at("c").get_to(step.size.milli_cores);
    from.at("m").get_to(step.size.memory_mib);
    from.at("g").get_to(step.size.accelerators);
    step.estimate = milliseconds(from.at("e").get<std::int64_t>());
    from.at("a").get_to(step.after);
    from.at("all").get_to(step.gang);
    from.at("rack").get_to(step.same_rack);
    from.at("ck").get_to(step.checkpointing);
    from.at("l").get_to(step.required_label);
    from.at("d").get_to(step.data_rack);
    from.at("pw").get_to(step.per_worker);
    return step;
}

json to_json(queue_rule const& queue)
{
    json out{{"n", queue.name},
             {"h", queue.host},
             {"x", queue.prefix},
             {"s", queue.service},
             {"p", queue.priority},
             {"a", queue.max_attempts},
             {"f", queue.slack_factor},
             {"t", queue.target.count()}};
    if (queue.advice)
    {
        out["adv"] = {queue.advice->decision_ms,
                      queue.advice->per_worker_ms,
                      queue.advice->validity.count()};
    }
    if (queue.anonymous)
    {
        out["o"] = true;
    }
    return out;
}

queue_rule to_queue(json const& from)
{
    queue_rule queue;
    from.at("n").get_to(queue.name);
    from.at("h").get_to(queue.host);
    from.at("x").get_to(queue.prefix);
    from.at("s").get_to(queue.service);
    from.at("p").get_to(queue.priority);
    from.at("a").get_to(queue.max_attempts);
    from.at("f").get_to(queue.slack_factor);
    queue.target = milliseconds(from.at("t").get<std::int64_t>());
    queue.anonymous = from.value("o", false);
    auto const advice = from.find("adv");
    if (advice != from.end())
    {
        queue.advice =
            advice_terms{advice->at(0).get<double>(),
                         advice->at(1).get<double>(),
                         milliseconds(advice->at(2).get<std::int64_t>())};
    }
    return queue;
}

std::string to_bytes(json const& value)
{
    std::vector<std::uint8_t> const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

json from_bytes(std::string const& bytes)
{
    return json::from_cbor(bytes);
}

} // namespace

std::string encode_job(job const& given)
{
    json steps = json::array();
    for (task_step const& step : given.steps)
    {
        steps.push_back(to_json(step));
    }
    json record{{"v", record_version},
                {"id", given.id},
                {"q", to_json(given.queue)},
                {"ep", given.epoch},
                {"spec", given.spec},
                {"steps", std::move(steps)}};
    if (!given.customer.empty())
    {
        record["cu"] = given.customer;
    }
    if (given.config_version != 0)
    {
        record["cv"] = given.config_version;
    }
    return to_bytes(record);
}

result<job> decode_job(std::string const& bytes)
{
    try
    {
        json const from = from_bytes(bytes);
        job out;
        from.at("id").get_to(out.id);
        from.at("ep").get_to(out.epoch);
        from.at("spec").get_to(out.spec);
        out.customer = from.value("cu", "");
        out.config_version = from.value("cv", std::int64_t{0});
        out.queue = to_queue(from.at("q"));
        for (json const& step : from.at("steps"))
        {
            out.steps.push_back(to_step(step));
        }
        std::string const wrong = check_job(out);
        if (!wrong.empty())
        {
            return error{error_code::invalid_input, wrong};
        }
        return out;
    }
    catch (json::exception const& problem)
    {
        return error{error_code::invalid_input, problem.what()};
    }
}

std::string encode_location(worker_location const& location)
{
    json record{{"v", record_version},
                {"h", location.where.host},
                {"p", location.where.port}};
    if (location.idle)
    {
        record["i"] = true;
    }
    return to_bytes(record);
}

result<worker_location> decode_location(std::string const& bytes)
{
    try
    {
        json const from = from_bytes(bytes);
        return worker_location{{from.at("h").get<std::string>(),
                                from.at("p").get<std::uint16_t>()},
                               from.value("i", false)};
    }
    catch (json::exception const& problem)
    {
        return error{error_code::invalid_input, problem.what()};
    }
}

std::string encode_progress(job_progress const& progress)
{
    json done = json::array();
    for (std::vector<bool> const& step : progress.done)
    {
        std::string bits;
        for (bool each : step)
        {
            bits += each ? '1' : '0';
        }
        done.push_back(bits);
    }
    json failed = json::array();
    for (std::map<int, std::set<std::uint64_t>> const& step :
         progress.failed_runs)
    {
        json tasks = json::array();
        for (auto const& task : step)
        {
            tasks.push_back({task.first, task.second});
        }
        failed.push_back(std::move(tasks));
    }
    return to_bytes(json{{"v", progress_version},
                         {"s", static_cast<int>(progress.state)},
                         {"d", std::move(done)},
                         {"f", std::move(failed)}});
}

result<job_progress> decode_progress(std::string const& bytes)
{
    try
    {
        json const from = from_bytes(bytes);
        job_progress out;
        int const state = from.at("s").get<int>();
        if (state < 0 || state > static_cast<int>(job_state::cancelled))
        {
            return error{error_code::invalid_input, "no such job state"};
        }
        out.state = static_cast<job_state>(state);
        for (json const& step : from.at("d"))
        {
            std::vector<bool> done;
            for (char bit : step.get<std::string>())
            {
                done.push_back(bit == '1');
            }
            out.done.push_back(std::move(done));
        }
        bool const lists_all_tasks = from.at("v").get<int>() < progress_version;
        for (json const& step : from.at("f"))
        {
            std::map<int, std::set<std::uint64_t>> failed;
            int index = 0;
            for (json const& task : step)
            {
                std::set<std::uint64_t> runs;
                (lists_all_tasks ? task : task.at(1)).get_to(runs);
                if (!runs.empty())
                {
                    failed.emplace(lists_all_tasks ? index
                                                   : task.at(0).get<int>(),
                                   std::move(runs));
                }
                ++index;
            }
            out.failed_runs.push_back(std::move(failed));
        }
        return out;
    }
    catch (json::exception const& problem)
    {
        return error{error_code::invalid_input, problem.what()};
    }
}

} // namespace cicada::batch
