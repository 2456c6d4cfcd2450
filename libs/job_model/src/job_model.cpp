#include "job_model/job_model.hpp"

#include <algorithm>

namespace cicada::batch
{

queue_rule const* find_queue(cell_config const& config,
                             std::string const& host,
                             std::string const& path)
{
    queue_rule const* best = nullptr;
    for (queue_rule const& each : config.queues)
    {
        if (each.host == host && path.rfind(each.prefix, 0) == 0 &&
            (best == nullptr || best->prefix.size() < each.prefix.size()))
        {
            best = &each;
        }
    }
    return best;
}

customer_rule const* find_customer(cell_config const& config,
                                   std::string const& key)
{
    if (!config.customers || key.empty())
    {
        return nullptr;
    }
    for (customer_rule const& each : *config.customers)
    {
        if (std::find(each.keys.begin(), each.keys.end(), key) !=
            each.keys.end())
        {
            return &each;
        }
    }
    return nullptr;
}

milliseconds longest_chain(job const& given)
{
    std::vector<milliseconds> ends;
    milliseconds longest{0};
    for (task_step const& step : given.steps)
    {
        milliseconds begin{0};
        for (int earlier : step.after)
        {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::string check_job(job const& given)
{
    constexpr std::size_t max_steps = 64;
    constexpr int max_tasks_per_step = 5000;
    constexpr std::size_t max_spec_bytes = 4000;
    if (given.steps.empty() || given.steps.size() > max_steps)
    {
        return "a job has 1 to 64 steps";
    }
    if (given.spec.size() > max_spec_bytes)
    {
        return "the spec is longer than 4000 bytes";
    }
    for (std::size_t i = 0; i < given.steps.size(); ++i)
    {
        task_step const& step = given.steps[i];
        if (step.count < 1 || step.count > max_tasks_per_step)
        {
            return "a step has 1 to 5000 tasks";
        }
        if (!non_negative(step.size) || step.estimate.count() < 0)
        {
            return "sizes and estimates are not negative";
        }
        for (int earlier : step.after)
        {
            if (earlier < 0 || earlier >= static_cast<int>(i))
            {
                return "a step follows only earlier steps";
            }
        }
    }
    return "";
}

std::string check_caps(job const& given, customer_share const& share)
{
    for (task_step const& step : given.steps)
    {
        resources const whole =
            step.size * static_cast<std::int64_t>(step.gang ? step.count : 1);
        auto const exceeds = [](std::int64_t cap, std::int64_t needed)
        {
            return cap > 0 && needed > cap;
        };
        if (exceeds(share.cap.milli_cores, whole.milli_cores) ||
            exceeds(share.cap.memory_mib, whole.memory_mib) ||
            exceeds(share.cap.accelerators, whole.accelerators))
        {
            return step.gang ? "a gang exceeds the customer's cap"
                             : "a task exceeds the customer's cap";
        }
    }
    return "";
}

} // namespace cicada::batch
