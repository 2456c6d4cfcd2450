#include "world.hpp"

#include <algorithm>

namespace cicada::failure_testing
{
namespace
{

constexpr milliseconds tick_period{50};
constexpr milliseconds renewal_period{1'000};
constexpr milliseconds most_usual_delay{20};
constexpr milliseconds most_rare_delay{600};
constexpr milliseconds link_notice{300};
constexpr milliseconds store_limit{2'000};
constexpr int rare_in = 50; //!< one delay of so many is a rare one
constexpr char request_workload[] = "press";
constexpr char job_workload[] = "nightly";
constexpr char the_tenant[] = "studio";
constexpr std::int64_t worker_cores = 4'000; //!< milli-cores
constexpr std::int64_t task_cores = 1'500;   //!< milli-cores

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
    tenant.name = tenant_id{the_tenant};
    config.tenants[tenant.name] = tenant;
    config.policies.retry_budget_percent = 100;
    return config;
}

instance make_instance(instance_kind kind,
                       int zone,
                       int number,
                       world_shape const& shape)
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
        made.capacity = resources{worker_cores, 4'096, 0};
        return made;
    }
    made.pool = pool_id{request_workload};
    made.slots = shape.slots;
    return made;
}

told told_by(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::not_run:
        return told::not_run;
    case request_outcome::ran:
        return told::ran;
    case request_outcome::unknown:
        return told::unknown;
    }
    return told::unknown;
}

} // namespace

world::world(world_shape const& shape, std::uint64_t seed)
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

daemon_id world::daemon(int index) const
{
    return daemon_id{"d" + std::to_string(index)};
}

state const& world::reducer(daemon_id const& name) const
{
    return *this->daemons.at(name).reducer;
}

bool world::is_alive(daemon_id const& name) const
{
    return this->daemons.at(name).alive;
}

std::uint64_t world::draw(std::uint64_t below)
{
    return this->random() % below;
}

milliseconds world::delay()
{
    bool const rare = this->draw(rare_in) == 0;
    milliseconds const most = rare ? most_rare_delay : most_usual_delay;
    return milliseconds{1 + static_cast<std::int64_t>(this->draw(
                                static_cast<std::uint64_t>(most.count())))};
}

void world::at(milliseconds delay, std::function<void()> what)
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

void world::run_for(milliseconds length)
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

void world::feed(daemon_id const& name, event_body const& body)
{
    fake_daemon& d = this->daemons.at(name);
    if (!d.alive)
    {
        return;
    }
    if (d.paused)
    {
        d.held.push_back(
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
        this->carry_out(name, each);
    }
}

void world::feed_life(daemon_id const& name,
                      std::uint64_t life,
                      event_body const& body)
{
    if (this->daemons.at(name).life == life)
    {
        this->feed(name, body);
    }
}

void world::start(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.alive = true;
    d.paused = false;
    d.held.clear();
    d.life += 1;
    d.settings.incarnation = d.life;
    d.settings.self.leaving = false;
    d.reducer = make_state(d.settings);
    std::uint64_t const life = d.life;
    this->list_instances(name);
    this->at(this->delay(),
             [this, name, life]
             {
                 this->renew_lease(name, life);
             });
}

void world::kill(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.alive = false;
    d.held.clear();
    for (auto const& [request, entry] : this->entry_of)
    {
        try_history& t = this->told_and_seen.tries.at(request);
        if (entry == name && t.told_times == 0)
        {
            t.daemon_died = true;
        }
    }
}

void world::pause(daemon_id const& name)
{
    this->daemons.at(name).paused = true;
}

void world::resume(daemon_id const& name)
{
    fake_daemon& d = this->daemons.at(name);
    d.paused = false;
    std::vector<std::function<void()>> const held = std::move(d.held);
    d.held.clear();
    for (std::function<void()> const& each : held)
    {
        each();
    }
}

void world::stop_in_order(daemon_id const& name)
{
    this->feed(name, shutdown_asked{});
}

void world::set_link(daemon_id const& a, daemon_id const& b, bool up)
{
    this->link(a, b).cut = !up;
}

void world::set_agent_reachable(std::string const& name, bool reachable)
{
    this->agents.at(name).reachable = reachable;
    bool const worker =
        this->agents.at(name).info.kind == instance_kind::worker;
    this->told_and_seen.workers_lost |= worker && !reachable;
}

void world::set_leaving(std::string const& name)
{
    this->agents.at(name).info.leaving = true;
}

void world::call(daemon_id const& entry,
                 std::string const& key,
                 bool idempotent)
{
    this->calls += 1;
    request_arrived head;
    head.request = request_id{key + "-try" + std::to_string(this->calls)};
    head.tenant = tenant_id{the_tenant};
    head.workload = workload_id{request_workload};
    head.idempotent = idempotent;
    head.key = key;
    head.body_digest = "digest-" + key;
    head.replayable = true;
    this->told_and_seen.tries[head.request].key = key;
    this->told_and_seen.keys[key].idempotent = idempotent;
    this->key_of[head.request] = key;
    this->entry_of[head.request] = entry;
    this->told_and_seen.tries[head.request].daemon_died =
        !this->is_alive(entry);
    this->feed(entry, head);
}

void world::submit(daemon_id const& entry, int tasks, bool gang)
{
    this->calls += 1;
    job_record job;
    job.name = job_id{"job" + std::to_string(this->calls)};
    job.tenant = tenant_id{the_tenant};
    job.workload = workload_id{job_workload};
    job.gang = gang;
    job.size = resources{task_cores, 128, 0};
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

void world::tell(request_id const& request, told what)
{
    try_history& t = this->told_and_seen.tries.at(request);
    t.told_times += 1;
    t.last = what;
}

void world::carry_out(daemon_id const& from, effect const& what)
{
    if (std::holds_alternative<answer_problem>(what))
    {
        answer_problem const& problem = std::get<answer_problem>(what);
        this->tell(problem.request, told_by(problem.outcome));
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
            this->told_and_seen.accepted_jobs[answer.job] =
                static_cast<int>(job.tasks.size());
        }
    }
    else if (std::holds_alternative<write_member>(what))
    {
        this->store.members[from] = std::get<write_member>(what).self;
        this->tell_all(
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

world::fake_link& world::link(daemon_id const& a, daemon_id const& b)
{
    return this->links[daemon_pair{std::min(a, b), std::max(a, b)}];
}

void world::send(daemon_id const& from, send_peer const& message)
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

void world::review_links()
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
            this->at(link_notice,
                     [this, lower, higher]
                     {
                         this->feed(lower, peer_down{higher});
                     });
            this->at(link_notice,
                     [this, lower, higher]
                     {
                         this->feed(higher, peer_down{lower});
                     });
        }
    }
}

agent_order_ended world::failed_order(send_agent const& sent,
                                      error_code code) const
{
    return agent_order_ended{sent.agent, sent.order, error{code, "no answer"}};
}

void world::order(daemon_id const& from, send_agent const& sent)
{
    std::uint64_t const life = this->daemons.at(from).life;
    milliseconds const there = this->delay();
    milliseconds const back = this->delay();
    bool const sync = std::holds_alternative<sync_order>(sent.order);
    milliseconds const held =
        sync ? std::get<sync_order>(sent.order).wait : milliseconds{0};
    this->at(
        there,
        [this, from, life, sent, back, held]
        {
            auto const found = this->agents.find(sent.where.host);
            bool const reached =
                found != this->agents.end() && found->second.reachable;
            if (!reached)
            {
                this->at(sent.time_limit,
                         [this, from, life, sent]
                         {
                             this->feed_life(
                                 from,
                                 life,
                                 this->failed_order(sent, error_code::unknown));
                         });
                return;
            }
            fake_agent& agent = found->second;
            pass_time(agent, this->now, this->told_and_seen);
            agent_answer const first =
                take_order(agent, sent.order, this->now, this->told_and_seen);
            bool const waits = std::holds_alternative<agent_report>(first) &&
                               held > milliseconds{0};
            this->at(waits ? held + back : back,
                     [this, from, life, sent, first, waits]
                     {
                         fake_agent& later = this->agents.at(sent.where.host);
                         if (!later.reachable)
                         {
                             this->feed_life(
                                 from,
                                 life,
                                 this->failed_order(sent, error_code::unknown));
                             return;
                         }
                         pass_time(later, this->now, this->told_and_seen);
                         agent_answer answer = first;
                         if (waits)
                         {
                             sync_order asked =
                                 std::get<sync_order>(sent.order);
                             asked.renew = false;
                             answer = take_order(
                                 later, asked, this->now, this->told_and_seen);
                         }
                         this->feed_life(
                             from,
                             life,
                             agent_order_ended{sent.agent, sent.order, answer});
                     });
        });
}

void world::attempt(daemon_id const& from, start_attempt const& start)
{
    std::uint64_t const life = this->daemons.at(from).life;
    request_id const request = start.request;
    slot_grant const grant = start.grant;
    auto const ended = [this, from, life, request, grant](attempt_result result)
    {
        attempt_ended e;
        e.request = request;
        e.attempt = grant.attempt;
        e.result = result;
        e.status = 200;
        bool const same = this->daemons.at(from).life == life;
        bool const alive = this->daemons.at(from).alive;
        if (same && alive && result == attempt_result::answered)
        {
            this->tell(request, told::answered);
        }
        this->feed_life(from, life, e);
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
                 pass_time(agent, this->now, this->told_and_seen);
                 attempt_arrival const arrival{grant, key, service};
                 bool const taken = take_attempt(
                     agent, arrival, this->now, this->told_and_seen);
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

void world::write(daemon_id const& from,
                  std::function<event_body(bool)> const& apply)
{
    std::uint64_t const life = this->daemons.at(from).life;
    milliseconds const back = this->delay();
    this->at(this->delay(),
             [this, from, life, apply, back]
             {
                 if (!this->store.reachable)
                 {
                     event_body const failed = apply(false);
                     this->at(store_limit,
                              [this, from, life, failed]
                              {
                                  this->feed_life(from, life, failed);
                              });
                     return;
                 }
                 event_body answer = apply(true);
                 double const drawn =
                     static_cast<double>(this->draw(1'000)) / 1e3;
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
                          [this, from, life, answer]
                          {
                              this->feed_life(from, life, answer);
                          });
             });
}

event_body world::apply_table(propose_table const& e)
{
    if (e.table.version != this->store.table.version + 1)
    {
        return table_proposed{e.table, write_outcome::refused};
    }
    this->store.table = e.table;
    this->tell_all(
        [this]
        {
            return event_body(table_seen{this->store.table});
        });
    return table_proposed{e.table, write_outcome::done};
}

event_body world::apply_intent(write_intent const& e)
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

event_body world::apply_job(write_job const& e)
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

void world::load(daemon_id const& from, shard_id const& home)
{
    std::uint64_t const life = this->daemons.at(from).life;
    this->at(this->delay(),
             [this, from, life, home]
             {
                 if (!this->store.reachable)
                 {
                     error const failed{error_code::unavailable, "down"};
                     this->feed_life(from, life, jobs_loaded{home, failed});
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
                 this->feed_life(from, life, jobs_loaded{home, jobs});
             });
}

void world::tell_all(std::function<event_body()> const& make)
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

void world::tell_cell(daemon_id const& name)
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

void world::list_instances(daemon_id const& name)
{
    instances_listed listed;
    for (auto const& [agent_name, agent] : this->agents)
    {
        listed.list.push_back(agent.info);
    }
    this->feed(name, listed);
}

void world::renew_lease(daemon_id const& name, std::uint64_t life)
{
    fake_daemon& d = this->daemons.at(name);
    if (!d.alive || d.life != life)
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
            this->tell_all(
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
        this->tell_cell(name);
        this->list_instances(name);
    }
    bool const held = this->now < d.lease_end;
    this->feed(name, own_lease_seen{held, d.lease_end - this->now});
    this->at(renewal_period,
             [this, name, life]
             {
                 this->renew_lease(name, life);
             });
}

void world::lapse_leases()
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
        this->tell_all(
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

void world::tick_all()
{
    this->lapse_leases();
    this->review_links();
    for (auto const& [name, d] : this->daemons)
    {
        if (!d.paused)
        {
            this->feed(name, tick{});
        }
    }
    for (auto& [name, agent] : this->agents)
    {
        pass_time(agent, this->now, this->told_and_seen);
    }
    this->at(tick_period,
             [this]
             {
                 this->tick_all();
             });
}

} // namespace cicada::failure_testing
