#include "simulated_cell.hpp"

#include <algorithm>

namespace cicada::failure_testing
{
namespace
{

constexpr milliseconds tick_period{50};
constexpr milliseconds renewal_period{1'000};
constexpr milliseconds max_usual_delay{20};
constexpr milliseconds max_rare_delay{600};
constexpr milliseconds disconnect_notice_delay{300};
constexpr milliseconds store_time_limit{2'000};
constexpr int rare_delay_interval = 50; //!< one delay in this many is long
constexpr char request_workload[] = "press";
constexpr char job_workload[] = "nightly";
constexpr char tenant_name[] = "studio";
constexpr std::int64_t worker_milli_cores = 4'000;
constexpr std::int64_t task_milli_cores = 1'500;

cell_config make_config()
{
    cell_config config;
    config.note_number = 1;
    workload press;
    press.name = workload_id{request_workload};
    press.deadline = milliseconds{5'000};
    config.workloads[press.name] = press;
    workload nightly;
    nightly.name = workload_id{job_workload};
    nightly.kind = workload_kind::batch;
    config.workloads[nightly.name] = nightly;
    tenant_limits tenant;
    tenant.name = tenant_id{tenant_name};
    config.tenants[tenant.name] = tenant;
    config.policies.retry_budget_percent = 100;
    return config;
}

instance make_instance(instance_kind kind,
                       int zone,
                       int number,
                       simulated_cell_size const& shape)
{
    instance made;
    bool const worker = kind == instance_kind::worker;
    std::string const z = "z" + std::to_string(zone);
    made.name =
        std::string(worker ? "w" : "e") + std::to_string(number) + "-" + z;
    made.kind = kind;
    made.zone = zone_id{z};
    made.shard = shard_id{z + "/r1"};
    made.where = address{made.name, 1};
    if (worker)
    {
        made.capacity = resources{worker_milli_cores, 4'096, 0};
        return made;
    }
    made.pool = pool_id{request_workload};
    made.slots = shape.slots;
    return made;
}

reported_outcome reported_outcome_of(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::not_run:
        return reported_outcome::not_run;
    case request_outcome::ran:
        return reported_outcome::ran;
    case request_outcome::unknown:
        return reported_outcome::unknown;
    }
    return reported_outcome::unknown;
}

} // namespace

simulated_cell::simulated_cell(simulated_cell_size const& shape,
                               std::uint64_t seed)
    : now(std::chrono::hours{1}), random(seed)
{
    this->store.config = make_config();
    for (int zone = 1; zone <= shape.zones; ++zone)
    {
        for (int i = 1; i <= shape.endpoints_per_zone; ++i)
        {
            fake_agent agent;
            agent.info = make_instance(instance_kind::endpoint, zone, i, shape);
            this->agents[agent.info.name] = agent;
        }
        for (int i = 1; i <= shape.workers_per_zone; ++i)
        {
            fake_agent agent;
            agent.info = make_instance(instance_kind::worker, zone, i, shape);
            this->agents[agent.info.name] = agent;
        }
    }
    for (int i = 0; i < shape.daemons; ++i)
    {
        fake_daemon made;
        made.settings.self.name = this->daemon(i);
        made.settings.self.zone =
            zone_id{"z" + std::to_string(i % shape.zones + 1)};
        this->daemons[this->daemon(i)] = std::move(made);
    }
    this->tick_all();
    for (int i = 0; i < shape.daemons; ++i)
    {
        this->start(this->daemon(i));
    }
}

daemon_id simulated_cell::daemon(int index) const
{
    return daemon_id{"d" + std::to_string(index)};
}

state const& simulated_cell::reducer(daemon_id const& name) const
{
    return *this->daemons.at(name).reducer;
}

bool simulated_cell::is_alive(daemon_id const& name) const
{
    return this->daemons.at(name).alive;
}

std::uint64_t simulated_cell::draw(std::uint64_t below)
{
    return this->random() % below;
}

milliseconds simulated_cell::delay()
{
    bool const rare = this->draw(rare_delay_interval) == 0;
    milliseconds const most = rare ? max_rare_delay : max_usual_delay;
    return milliseconds{1 + static_cast<std::int64_t>(this->draw(
                                static_cast<std::uint64_t>(most.count())))};
}

void simulated_cell::at(milliseconds delay, std::function<void()> what)
{
    this->sequence += 1;
    this->queue.push_back(
        pending{this->now + delay, this->sequence, std::move(what)});
    std::push_heap(this->queue.begin(),
                   this->queue.end(),
                   [](pending const& left, pending const& right)
                   {
                       return left.at != right.at ? left.at > right.at
                                                  : left.order > right.order;
                   });
}

void simulated_cell::run_for(milliseconds length)
{
    instant const end = this->now + length;
    while (!this->queue.empty() && this->queue.front().at <= end)
    {
        std::pop_heap(this->queue.begin(),
                      this->queue.end(),
                      [](pending const& left, pending const& right)
                      {
                          return left.at != right.at ? left.at > right.at
                                                     : left.order > right.order;
                      });
        pending const next = std::move(this->queue.back());
        this->queue.pop_back();
        this->now = next.at;
        next.what();
    }
    this->now = end;
}

void simulated_cell::feed(daemon_id const& name, event_body const& body)
{
    fake_daemon& d = this->daemons.at(name);
    if (!d.alive)
    {
        return;
    }
    if (d.paused)
    {
        d.pending_events.push_back(
            [this, name, body]
            {
                this->feed(name, body);
            });
        return;
    }
    std::vector<effect> const effects =
        step(*d.reducer, event{this->now, body});
    for (effect const& each : effects)
    {
        this->execute(name, each);
    }
}

void simulated_cell::feed_incarnation(daemon_id const& name,
                                      std::uint64_t incarnation,
                                      event_body const& body)
{
    if (this->daemons.at(name).incarnation == incarnation)
    {
        this->feed(name, body);
    }
}

void simulated_cell::start(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.alive = true;
    d.paused = false;
    d.pending_events.clear();
    d.incarnation += 1;
    d.settings.incarnation = d.incarnation;
    d.settings.self.leaving = false;
    d.reducer = make_state(d.settings);
    std::uint64_t const incarnation = d.incarnation;
    this->list_instances(name);
    this->at(this->delay(),
             [this, name, incarnation]
             {
                 this->renew_lease(name, incarnation);
             });
}

void simulated_cell::kill(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.alive = false;
    d.pending_events.clear();
    for (auto const& [request, entry] : this->entry_of)
    {
        try_history& t = this->observed.tries.at(request);
        if (entry == name && t.answers == 0)
        {
            t.daemon_died = true;
        }
    }
}

void simulated_cell::pause(daemon_id const& name)
{
    this->daemons.at(name).paused = true;
}

void simulated_cell::resume(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.paused = false;
    std::vector<std::function<void()>> const delayed =
        std::move(d.pending_events);
    d.pending_events.clear();
    for (std::function<void()> const& each : delayed)
    {
        each();
    }
}

void simulated_cell::stop_gracefully(daemon_id const& name)
{
    this->feed(name, shutdown_asked{});
}

void simulated_cell::set_link(daemon_id const& a, daemon_id const& b, bool up)
{
    this->link(a, b).cut = !up;
}

void simulated_cell::set_agent_reachable(std::string const& name,
                                         bool reachable)
{
    this->agents.at(name).reachable = reachable;
    bool const worker =
        this->agents.at(name).info.kind == instance_kind::worker;
    this->observed.workers_lost |= worker && !reachable;
}

void simulated_cell::set_leaving(std::string const& name)
{
    this->agents.at(name).info.leaving = true;
}

void simulated_cell::call(daemon_id const& entry,
                          std::string const& key,
                          bool idempotent)
{
    this->calls += 1;
    request_arrived head;
    head.request = request_id{key + "-try" + std::to_string(this->calls)};
    head.tenant = tenant_id{tenant_name};
    head.workload = workload_id{request_workload};
    head.idempotent = idempotent;
    head.key = key;
    head.body_digest = "digest-" + key;
    head.replayable = true;
    this->observed.tries[head.request].key = key;
    this->observed.keys[key].idempotent = idempotent;
    this->key_of[head.request] = key;
    this->entry_of[head.request] = entry;
    this->observed.tries[head.request].daemon_died = !this->is_alive(entry);
    this->feed(entry, head);
}

void simulated_cell::submit(daemon_id const& entry, int tasks, bool gang)
{
    this->calls += 1;
    job_record job;
    job.name = job_id{"job" + std::to_string(this->calls)};
    job.tenant = tenant_id{tenant_name};
    job.workload = workload_id{job_workload};
    job.gang = gang;
    job.size = resources{task_milli_cores, 128, 0};
    job.run_time =
        milliseconds{200 + static_cast<std::int64_t>(this->draw(2'000))};
    for (int i = 0; i < tasks; ++i)
    {
        task_record task;
        task.index = i;
        job.tasks.push_back(task);
    }
    this->feed(entry, job_submitted{job, "", ""});
}

void simulated_cell::record_answer(request_id const& request,
                                   reported_outcome what)
{
    try_history& t = this->observed.tries.at(request);
    t.answers += 1;
    t.last = what;
}

void simulated_cell::execute(daemon_id const& from, effect const& what)
{
    if (std::holds_alternative<answer_problem>(what))
    {
        answer_problem const& problem = std::get<answer_problem>(what);
        this->record_answer(problem.request,
                            reported_outcome_of(problem.outcome));
    }
    else if (std::holds_alternative<start_attempt>(what))
    {
        this->attempt(from, std::get<start_attempt>(what));
    }
    else if (std::holds_alternative<send_peer>(what))
    {
        this->send(from, std::get<send_peer>(what));
    }
    else if (std::holds_alternative<send_agent>(what))
    {
        this->order(from, std::get<send_agent>(what));
    }
    else if (std::holds_alternative<write_intent>(what))
    {
        write_intent const e = std::get<write_intent>(what);
        this->write(
            from,
            [this, e](bool known) -> event_body
            {
                if (known)
                {
                    return this->apply_intent(e);
                }
                return intent_written{e.request, write_outcome::failed, {}};
            });
    }
    else if (std::holds_alternative<write_job>(what))
    {
        write_job const e = std::get<write_job>(what);
        this->write(
            from,
            [this, e](bool known) -> event_body
            {
                if (known)
                {
                    return this->apply_job(e);
                }
                return job_written{e.job.name, write_outcome::failed, {}};
            });
    }
    else if (std::holds_alternative<propose_table>(what))
    {
        propose_table const e = std::get<propose_table>(what);
        this->write(from,
                    [this, e](bool known) -> event_body
                    {
                        if (known)
                        {
                            return this->apply_table(e);
                        }
                        return table_proposed{e.table, write_outcome::failed};
                    });
    }
    else if (std::holds_alternative<load_jobs>(what))
    {
        this->load(from, std::get<load_jobs>(what).home);
    }
    else if (std::holds_alternative<answer_job>(what))
    {
        answer_job const& answer = std::get<answer_job>(what);
        if (answer.code.empty())
        {
            job_record const& job = this->store.jobs.at(answer.job);
            this->observed.accepted_jobs[answer.job] =
                static_cast<int>(job.tasks.size());
        }
    }
    else if (std::holds_alternative<write_member>(what))
    {
        this->store.members[from] = std::get<write_member>(what).self;
        this->notify_all(
            [this]
            {
                members_seen seen;
                for (auto const& [name, each] : this->store.members)
                {
                    seen.members.push_back(each);
                }
                return event_body(seen);
            });
    }
    else if (std::holds_alternative<shutdown_ready>(what))
    {
        this->at(milliseconds{0},
                 [this, from]
                 {
                     this->kill(from);
                 });
    }
}

simulated_cell::fake_link& simulated_cell::link(daemon_id const& a,
                                                daemon_id const& b)
{
    return this->links[daemon_pair{std::min(a, b), std::max(a, b)}];
}

void simulated_cell::send(daemon_id const& from, send_peer const& message)
{
    fake_link& between = this->link(from, message.to);
    if (!between.up)
    {
        return;
    }
    std::uint64_t const session = between.session;
    instant const arrives =
        std::max(between.free_at, this->now + this->delay());
    between.free_at = arrives;
    daemon_id const to = message.to;
    peer_message const body = message.message;
    this->at(arrives - this->now,
             [this, from, to, session, body]
             {
                 fake_link const& still = this->link(from, to);
                 if (still.up && !still.cut && still.session == session)
                 {
                     this->feed(to, peer_message_received{from, body});
                 }
             });
}

void simulated_cell::update_links()
{
    for (auto const& [a, first] : this->daemons)
    {
        for (auto const& [b, second] : this->daemons)
        {
            if (!(a < b))
            {
                continue;
            }
            fake_link& between = this->link(a, b);
            bool const listed = this->store.members.count(a) > 0 &&
                                this->store.members.count(b) > 0;
            bool const answers =
                first.alive && second.alive && !first.paused && !second.paused;
            bool const could = answers && listed && !between.cut;
            if (could == between.up)
            {
                continue;
            }
            between.up = could;
            between.session += 1;
            if (could)
            {
                this->feed(a, peer_up{b});
                this->feed(b, peer_up{a});
                continue;
            }
            daemon_id const lower = a;
            daemon_id const higher = b;
            this->at(disconnect_notice_delay,
                     [this, lower, higher]
                     {
                         this->feed(lower, peer_down{higher});
                     });
            this->at(disconnect_notice_delay,
                     [this, lower, higher]
                     {
                         this->feed(higher, peer_down{lower});
                     });
        }
    }
}

agent_order_ended simulated_cell::failed_order(send_agent const& sent,
                                               error_code code) const
{
    return agent_order_ended{sent.agent, sent.order, error{code, "no answer"}};
}

void simulated_cell::order(daemon_id const& from, send_agent const& sent)
{
    std::uint64_t const incarnation = this->daemons.at(from).incarnation;
    milliseconds const there = this->delay();
    milliseconds const back = this->delay();
    bool const sync = std::holds_alternative<sync_order>(sent.order);
    milliseconds const held =
        sync ? std::get<sync_order>(sent.order).wait : milliseconds{0};
    this->at(
        there,
        [this, from, incarnation, sent, back, held]
        {
            auto const found = this->agents.find(sent.where.host);
            bool const reached =
                found != this->agents.end() && found->second.reachable;
            if (!reached)
            {
                this->at(sent.time_limit,
                         [this, from, incarnation, sent]
                         {
                             this->feed_incarnation(
                                 from,
                                 incarnation,
                                 this->failed_order(sent, error_code::unknown));
                         });
                return;
            }
            fake_agent& agent = found->second;
            end_due_runs(agent, this->now, this->observed);
            agent_answer const first =
                handle_order(agent, sent.order, this->now, this->observed);
            bool const waits = std::holds_alternative<agent_report>(first) &&
                               held > milliseconds{0};
            this->at(waits ? held + back : back,
                     [this, from, incarnation, sent, first, waits]
                     {
                         fake_agent& later = this->agents.at(sent.where.host);
                         if (!later.reachable)
                         {
                             this->feed_incarnation(
                                 from,
                                 incarnation,
                                 this->failed_order(sent, error_code::unknown));
                             return;
                         }
                         end_due_runs(later, this->now, this->observed);
                         agent_answer answer = first;
                         if (waits)
                         {
                             sync_order asked =
                                 std::get<sync_order>(sent.order);
                             asked.renew = false;
                             answer = handle_order(
                                 later, asked, this->now, this->observed);
                         }
                         this->feed_incarnation(
                             from,
                             incarnation,
                             agent_order_ended{sent.agent, sent.order, answer});
                     });
        });
}

void simulated_cell::attempt(daemon_id const& from, start_attempt const& start)
{
    std::uint64_t const incarnation = this->daemons.at(from).incarnation;
    request_id const request = start.request;
    slot_grant const grant = start.grant;
    auto const ended =
        [this, from, incarnation, request, grant](attempt_result result)
    {
        attempt_ended e;
        e.request = request;
        e.attempt = grant.attempt;
        e.result = result;
        e.status = 200;
        bool const same = this->daemons.at(from).incarnation == incarnation;
        bool const alive = this->daemons.at(from).alive;
        if (same && alive && result == attempt_result::answered)
        {
            this->record_answer(request, reported_outcome::answered);
        }
        this->feed_incarnation(from, incarnation, e);
    };
    milliseconds const service{10 + static_cast<std::int64_t>(this->draw(300))};
    std::string const key = this->key_of.at(request);
    instant const limit = this->now + start.time_limit;
    milliseconds const back = this->delay();
    this->at(this->delay(),
             [this, request, grant, ended, service, key, limit, back]
             {
                 fake_agent& agent = this->agents.at(grant.where.host);
                 if (!agent.reachable)
                 {
                     this->at(limit - this->now,
                              [ended]
                              {
                                  ended(attempt_result::unknown);
                              });
                     return;
                 }
                 end_due_runs(agent, this->now, this->observed);
                 attempt_arrival const arrival{grant, key, service};
                 bool const taken = start_attempt_at(
                     agent, arrival, this->now, this->observed);
                 if (!taken)
                 {
                     attempt_result const refused =
                         agent.info.leaving ? attempt_result::draining
                                            : attempt_result::not_run;
                     this->at(back,
                              [ended, refused]
                              {
                                  ended(refused);
                              });
                     return;
                 }
                 this->at(service + back,
                          [this, ended, grant, limit]
                          {
                              bool const comes =
                                  this->agents.at(grant.where.host).reachable &&
                                  this->now <= limit;
                              ended(comes ? attempt_result::answered
                                          : attempt_result::unknown);
                          });
             });
}

void simulated_cell::write(daemon_id const& from,
                           std::function<event_body(bool)> const& apply)
{
    std::uint64_t const incarnation = this->daemons.at(from).incarnation;
    milliseconds const back = this->delay();
    this->at(
        this->delay(),
        [this, from, incarnation, apply, back]
        {
            if (!this->store.reachable)
            {
                event_body const failed = apply(false);
                this->at(store_time_limit,
                         [this, from, incarnation, failed]
                         {
                             this->feed_incarnation(from, incarnation, failed);
                         });
                return;
            }
            event_body answer = apply(true);
            double const drawn = static_cast<double>(this->draw(1'000)) / 1e3;
            if (drawn < this->store.lost_answers)
            {
                std::visit(
                    [](auto& each)
                    {
                        if constexpr (requires { each.outcome; })
                        {
                            each.outcome = write_outcome::unknown;
                        }
                    },
                    answer);
            }
            this->at(back,
                     [this, from, incarnation, answer]
                     {
                         this->feed_incarnation(from, incarnation, answer);
                     });
        });
}

event_body simulated_cell::apply_table(propose_table const& e)
{
    if (e.table.version != this->store.table.version + 1)
    {
        return table_proposed{e.table, write_outcome::refused};
    }
    this->store.table = e.table;
    this->notify_all(
        [this]
        {
            return event_body(table_seen{this->store.table});
        });
    return table_proposed{e.table, write_outcome::done};
}

event_body simulated_cell::apply_intent(write_intent const& e)
{
    auto const stored = this->store.intents.find(e.value.key);
    bool const there = stored != this->store.intents.end();
    bool const may =
        e.replaces ? there && stored->second.attempt == *e.replaces : !there;
    if (!may)
    {
        std::optional<intent> existing;
        if (there)
        {
            existing = stored->second;
        }
        return intent_written{e.request, write_outcome::refused, existing};
    }
    this->store.intents[e.value.key] = e.value;
    return intent_written{e.request, write_outcome::done, std::nullopt};
}

event_body simulated_cell::apply_job(write_job const& e)
{
    bool const current = e.table_version == this->store.table.version;
    bool const there = this->store.jobs.count(e.job.name) > 0;
    if (e.create ? there : !current)
    {
        return job_written{e.job.name, write_outcome::refused, std::nullopt};
    }
    if (is_final(e.job.state))
    {
        this->store.jobs.erase(e.job.name);
        this->store.done_jobs[e.job.name] = e.job;
    }
    else
    {
        this->store.jobs[e.job.name] = e.job;
    }
    return job_written{e.job.name, write_outcome::done, std::nullopt};
}

void simulated_cell::load(daemon_id const& from, shard_id const& home)
{
    std::uint64_t const incarnation = this->daemons.at(from).incarnation;
    this->at(
        this->delay(),
        [this, from, incarnation, home]
        {
            if (!this->store.reachable)
            {
                error const failed{error_code::unavailable, "down"};
                this->feed_incarnation(
                    from, incarnation, jobs_loaded{home, failed});
                return;
            }
            std::vector<job_record> jobs;
            for (auto const& [name, job] : this->store.jobs)
            {
                if (job.home == home)
                {
                    jobs.push_back(job);
                }
            }
            this->feed_incarnation(from, incarnation, jobs_loaded{home, jobs});
        });
}

void simulated_cell::notify_all(std::function<event_body()> const& make)
{
    for (auto const& [name, d] : this->daemons)
    {
        daemon_id const to = name;
        this->at(this->delay(),
                 [this, to, make]
                 {
                     if (this->store.reachable)
                     {
                         this->feed(to, make());
                     }
                 });
    }
}

void simulated_cell::send_cell_state(daemon_id const& name)
{
    if (!this->store.reachable)
    {
        return;
    }
    members_seen seen;
    for (auto const& [each, info] : this->store.members)
    {
        seen.members.push_back(info);
    }
    this->feed(name, config_seen{this->store.config});
    this->feed(name, table_seen{this->store.table});
    this->feed(name, seen);
}

void simulated_cell::list_instances(daemon_id const& name)
{
    instances_listed listed;
    for (auto const& [agent_name, agent] : this->agents)
    {
        listed.list.push_back(agent.info);
    }
    this->feed(name, listed);
}

void simulated_cell::renew_lease(daemon_id const& name,
                                 std::uint64_t incarnation)
{
    fake_daemon& d = this->daemons.at(name);
    if (!d.alive || d.incarnation != incarnation)
    {
        return;
    }
    if (this->store.reachable && !d.paused)
    {
        bool const fresh = this->store.members.count(name) == 0;
        d.lease_end = this->now + d.settings.member_lease;
        if (fresh)
        {
            this->store.members[name] = d.settings.self;
            this->notify_all(
                [this]
                {
                    members_seen seen;
                    for (auto const& [each, info] : this->store.members)
                    {
                        seen.members.push_back(info);
                    }
                    return event_body(seen);
                });
        }
        this->send_cell_state(name);
        this->list_instances(name);
    }
    bool const held = this->now < d.lease_end;
    this->feed(name, own_lease_seen{held, d.lease_end - this->now});
    this->at(renewal_period,
             [this, name, incarnation]
             {
                 this->renew_lease(name, incarnation);
             });
}

void simulated_cell::expire_leases()
{
    if (!this->store.reachable)
    {
        return;
    }
    bool changed = false;
    for (auto const& [name, d] : this->daemons)
    {
        bool const lapsed = d.lease_end <= this->now;
        changed |= lapsed && this->store.members.erase(name) > 0;
    }
    if (changed)
    {
        this->notify_all(
            [this]
            {
                members_seen seen;
                for (auto const& [name, info] : this->store.members)
                {
                    seen.members.push_back(info);
                }
                return event_body(seen);
            });
    }
}

void simulated_cell::tick_all()
{
    this->expire_leases();
    this->update_links();
    for (auto const& [name, d] : this->daemons)
    {
        if (!d.paused)
        {
            this->feed(name, tick{});
        }
    }
    for (auto& [name, agent] : this->agents)
    {
        end_due_runs(agent, this->now, this->observed);
    }
    this->at(tick_period,
             [this]
             {
                 this->tick_all();
             });
}

} // namespace cicada::failure_testing
