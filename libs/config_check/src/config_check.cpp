#include "config_check/config_check.hpp"

#include <algorithm>
#include <map>

namespace cicada::config_check
{

namespace
{

/** A ticket needs this long to reach the worker. */
constexpr milliseconds min_ticket_validity{150};
/** A job with the longest spec doesn't fit into less. */
constexpr std::size_t min_body_bytes = 4096;
constexpr std::size_t min_header_bytes = 256;

class findings
{
public:
    void add(severity kind, std::string text)
    {
        this->all.push_back({kind, std::move(text)});
    }

    std::vector<finding> sorted() const
    {
        std::vector<finding> out = this->all;
        std::stable_sort(out.begin(),
                         out.end(),
                         [](finding const& left, finding const& right)
                         {
                             return left.kind > right.kind;
                         });
        return out;
    }

private:
    std::vector<finding> all;
};

std::string name_of(batch::queue_rule const& queue)
{
    return "queue " + queue.name;
}

std::string name_of(batch::customer_rule const& customer)
{
    return "customer " + customer.share.name;
}

void check_advice(batch::queue_rule const& queue, findings& out)
{
    if (!queue.advice)
    {
        return;
    }
    if (queue.advice->validity <= min_ticket_validity)
    {
        out.add(severity::error,
                name_of(queue) + ": its tickets expire before they are used");
    }
    double const call_ms =
        queue.advice->decision_ms + queue.advice->per_worker_ms;
    bool const has_slack = queue.slack_factor > 1.0;
    if (!has_slack && static_cast<double>(queue.target.count()) < call_ms)
    {
        out.add(severity::warning,
                name_of(queue) +
                    ": one call for advice takes longer than its target");
    }
}

void check_queue(batch::cell_config const& config,
                 batch::queue_rule const& queue,
                 findings& out)
{
    if (queue.host.empty() || queue.prefix.empty() || queue.prefix[0] != '/')
    {
        out.add(severity::error,
                name_of(queue) + ": never matches, as its host is empty or its "
                                 "prefix doesn't begin with /");
    }
    if (queue.max_attempts < 1)
    {
        out.add(severity::error,
                name_of(queue) + ": max-attempts is below 1, no task may run");
    }
    if (queue.priority < 0)
    {
        out.add(severity::error, name_of(queue) + ": its priority is negative");
    }
    if (queue.slack_factor < 1.0 && queue.target.count() == 0)
    {
        out.add(severity::warning,
                name_of(queue) +
                    ": no job is in time, as its slack-factor is below 1");
    }
    bool const served = std::find(config.services.begin(),
                                  config.services.end(),
                                  queue.service) != config.services.end();
    if (!served)
    {
        out.add(severity::error,
                name_of(queue) + ": there is no service " + queue.service);
    }
    if (config.customers && config.customers->empty() && !queue.anonymous)
    {
        out.add(severity::error,
                name_of(queue) + ": no customer has a key for it");
    }
    check_advice(queue, out);
}

void check_matches(batch::cell_config const& config, findings& out)
{
    std::map<std::pair<std::string, std::string>, std::string> first;
    std::map<std::string, int> names;
    for (batch::queue_rule const& queue : config.queues)
    {
        auto const added =
            first.emplace(std::make_pair(queue.host, queue.prefix), queue.name);
        if (!added.second)
        {
            out.add(severity::error,
                    name_of(queue) + ": never matches, as queue " +
                        added.first->second + " has its host and prefix");
        }
        if (++names[queue.name] == 2)
        {
            out.add(severity::error,
                    name_of(queue) + ": its name isn't unique");
        }
    }
}

void check_customers(batch::cell_config const& config, findings& out)
{
    if (!config.customers)
    {
        return;
    }
    std::map<std::string, std::string> owners; // by key
    std::map<std::string, int> names;
    bool const all_anonymous = std::all_of(config.queues.begin(),
                                           config.queues.end(),
                                           [](batch::queue_rule const& queue)
                                           {
                                               return queue.anonymous;
                                           });
    for (batch::customer_rule const& customer : *config.customers)
    {
        if (++names[customer.share.name] == 2)
        {
            out.add(severity::error,
                    name_of(customer) + ": its name isn't unique");
        }
        if (customer.keys.empty() && !all_anonymous)
        {
            out.add(severity::warning,
                    name_of(customer) + ": can't call, as it has no key");
        }
        for (std::string const& key : customer.keys)
        {
            auto const added = owners.emplace(key, customer.share.name);
            if (key.empty())
            {
                out.add(severity::error,
                        name_of(customer) + ": an empty key is never accepted");
            }
            else if (!added.second)
            {
                out.add(severity::error,
                        name_of(customer) + ": one of its keys is taken for " +
                            "that of customer " + added.first->second);
            }
        }
    }
}

void check_limits(batch::cell_config const& config, findings& out)
{
    if (config.body_bytes < min_body_bytes)
    {
        out.add(severity::error,
                "max-body-bytes leaves no room for the spec of a job");
    }
    if (config.header_bytes < min_header_bytes)
    {
        out.add(severity::error,
                "max-header-bytes leaves no room for a request");
    }
    if (config.header_timeout > config.idle_timeout)
    {
        out.add(severity::warning,
                "header-timeout-ms is longer than idle-timeout-ms");
    }
    if (config.queues.empty())
    {
        out.add(severity::warning, "there is no route");
    }
}

/** Adds the names that only one of the maps has, and lets `compare` look at
 * those that both have. */
template <class T, class Compare>
void compare_by_name(std::string const& what,
                     std::map<std::string, T> const& before,
                     std::map<std::string, T> const& after,
                     findings& out,
                     Compare const& compare)
{
    for (auto const& each : before)
    {
        if (after.count(each.first) == 0)
        {
            out.add(severity::change, what + " " + each.first + ": removed");
        }
    }
    for (auto const& each : after)
    {
        auto const found = before.find(each.first);
        if (found == before.end())
        {
            out.add(severity::change, what + " " + each.first + ": added");
        }
        else
        {
            compare(found->second, each.second);
        }
    }
}

void compare_queues(batch::queue_rule const& before,
                    batch::queue_rule const& after,
                    findings& out)
{
    auto const differs = [&](bool changed, char const* what)
    {
        if (changed)
        {
            out.add(severity::change, name_of(after) + ": other " + what);
        }
    };
    differs(before.host != after.host || before.prefix != after.prefix,
            "host or prefix");
    differs(before.service != after.service, "service");
    differs(before.priority != after.priority, "priority");
    differs(before.max_attempts != after.max_attempts, "max-attempts");
    differs(before.slack_factor != after.slack_factor ||
                before.target != after.target,
            "slack-factor or target-duration-ms");
    differs(before.advice != after.advice, "recommendation");
    differs(before.anonymous != after.anonymous, "anonymous");
}

void compare_customers(batch::customer_rule const& before,
                       batch::customer_rule const& after,
                       findings& out)
{
    auto const has = [](batch::customer_rule const& in, std::string const& key)
    {
        return std::find(in.keys.begin(), in.keys.end(), key) != in.keys.end();
    };
    auto const missing =
        [&has](batch::customer_rule const& from, batch::customer_rule const& in)
    {
        return std::count_if(from.keys.begin(),
                             from.keys.end(),
                             [&has, &in](std::string const& key)
                             {
                                 return !has(in, key);
                             });
    };
    auto const added = missing(after, before);
    auto const withdrawn = missing(before, after);
    if (added + withdrawn > 0)
    {
        out.add(severity::change,
                name_of(after) + ": keys added " + std::to_string(added) +
                    ", withdrawn " + std::to_string(withdrawn));
    }
    if (!(before.share.cap == after.share.cap))
    {
        out.add(severity::change, name_of(after) + ": other cap");
    }
    if (before.share.weight != after.share.weight)
    {
        out.add(severity::change, name_of(after) + ": other weight");
    }
}

std::map<std::string, batch::queue_rule>
queues_by_name(batch::cell_config const& config)
{
    std::map<std::string, batch::queue_rule> out;
    for (batch::queue_rule const& each : config.queues)
    {
        out.emplace(each.name, each);
    }
    return out;
}

std::map<std::string, batch::customer_rule>
customers_by_name(batch::cell_config const& config)
{
    std::map<std::string, batch::customer_rule> out;
    if (config.customers)
    {
        for (batch::customer_rule const& each : *config.customers)
        {
            out.emplace(each.share.name, each);
        }
    }
    return out;
}

void compare(batch::cell_config const& before,
             batch::cell_config const& after,
             findings& out)
{
    if (after.version <= before.version)
    {
        out.add(severity::error,
                "version " + std::to_string(after.version) +
                    " is ignored, as version " +
                    std::to_string(before.version) + " is in force");
    }
    compare_by_name(
        "queue",
        queues_by_name(before),
        queues_by_name(after),
        out,
        [&out](batch::queue_rule const& left, batch::queue_rule const& right)
        {
            compare_queues(left, right, out);
        });
    if (before.customers.has_value() != after.customers.has_value())
    {
        out.add(severity::change,
                after.customers ? "calls need a key from now on"
                                : "calls need no key any more");
    }
    compare_by_name("customer",
                    customers_by_name(before),
                    customers_by_name(after),
                    out,
                    [&out](batch::customer_rule const& left,
                           batch::customer_rule const& right)
                    {
                        compare_customers(left, right, out);
                    });
    bool const same_limits = before.header_bytes == after.header_bytes &&
                             before.body_bytes == after.body_bytes &&
                             before.header_timeout == after.header_timeout &&
                             before.idle_timeout == after.idle_timeout;
    if (!same_limits)
    {
        out.add(severity::change, "other limits of requests");
    }
}

} // namespace

char const* to_string(severity of)
{
    switch (of)
    {
    case severity::change:
        return "change";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "";
}

std::vector<finding> check(batch::cell_config const& given,
                           std::optional<batch::cell_config> const& in_force)
{
    findings out;
    for (batch::queue_rule const& queue : given.queues)
    {
        check_queue(given, queue, out);
    }
    check_matches(given, out);
    check_customers(given, out);
    check_limits(given, out);
    if (in_force)
    {
        compare(*in_force, given, out);
    }
    return out.sorted();
}

} // namespace cicada::config_check
