#include "site.hpp"

#include <algorithm>
#include <cmath>

namespace cicada::soak
{

namespace standin = platform::standin;

namespace
{

constexpr milliseconds call_limit{3000}; //!< callers wait so long
constexpr milliseconds ask_period{400};
constexpr milliseconds visible_after{3000}; //!< then a job must be known
constexpr milliseconds cut_slack{200};      //!< a stop may cut what comes last
constexpr int most_attempts = 5;
constexpr double share_on_leaving = 0.1; //!< kept connections of callers
constexpr double failing_runs = 0.04;
constexpr double poison_jobs = 0.02; //!< every run of theirs fails
constexpr double leaving_callers = 0.05;
constexpr double longest_stay_ms = 1500.0; //!< of those
constexpr int least_allowed = 2;           //!< room for each gang that is drawn

/** The same for a task and a run, whatever else happens. */
double draw_of(std::uint64_t seed, std::string const& of)
{
    std::uint64_t hash = seed * 0x9e3779b97f4a7c15u + 1469598103934665603u;
    for (char c : of)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211u;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdu;
    hash ^= hash >> 29;
    return static_cast<double>(hash >> 11) /
           static_cast<double>(std::uint64_t{1} << 53);
}

bool is_over(batch::job_state state)
{
    return state == batch::job_state::completed ||
           state == batch::job_state::failed ||
           state == batch::job_state::cancelled;
}

} // namespace

callers::callers(bench& given,
                 crew& cell,
                 batch::cell_config config,
                 std::function<int(std::string const& step)> counter)
    : shared(given), daemons(cell), rules(std::move(config)),
      count_allowed(std::move(counter))
{
}

void callers::set_config(batch::cell_config config)
{
    this->rules = std::move(config);
}

batch::cell_config const& callers::config() const
{
    return this->rules;
}

void callers::begin()
{
    this->open = true;
    this->hand_in();
    this->ask_all();
}

void callers::end()
{
    this->open = false;
}

std::string callers::draw_id()
{
    std::uint64_t const number = this->shared.random();
    char id[17];
    std::snprintf(
        id, sizeof id, "%016llx", static_cast<unsigned long long>(number));
    return id;
}

/** The advisor allows enough workers for each step. */
bool callers::can_run(batch::job const& made) const
{
    int const least = std::min(least_allowed, this->shared.settings.workers);
    for (std::size_t k = 0; made.queue.advice && k < made.steps.size(); ++k)
    {
        if (this->count_allowed(made.id + ".0." + std::to_string(k)) < least)
        {
            return false;
        }
    }
    return true;
}

batch::job callers::draw_job()
{
    batch::job made;
    made.id = this->draw_id();
    made.queue =
        this->rules.queues[static_cast<std::size_t>(this->shared.draw_int(
            0, static_cast<int>(this->rules.queues.size()) - 1))];
    int const steps = this->shared.draw_int(1, 3);
    for (int k = 0; k < steps; ++k)
    {
        batch::task_step step;
        step.gang = this->shared.chance(0.15);
        step.count = this->shared.draw_int(1, 4);
        step.size = resources{1000, 512, 0};
        step.size.milli_cores *= this->shared.draw_int(1, 9);
        step.size.memory_mib *= this->shared.draw_int(1, 8);
        step.estimate = milliseconds(this->shared.draw_int(100, 1200));
        step.checkpointing = !step.gang && this->shared.chance(0.4);
        if (k > 0 && this->shared.chance(0.8))
        {
            step.after.push_back(k - 1);
        }
        made.steps.push_back(step);
    }
    while (!this->can_run(made))
    {
        made.id = this->draw_id();
    }
    made.spec = "spec-" + made.id;
    return made;
}

standin::task_profile callers::truth(batch::task_ref const& task,
                                     std::uint64_t run,
                                     std::string const& spec)
{
    standin::task_profile out;
    auto const found = this->jobs.find(task.job);
    if (found == this->jobs.end() || spec != found->second->job.spec ||
        task.step >= static_cast<int>(found->second->job.steps.size()))
    {
        return out;
    }
    batch::job const& job = found->second->job;
    batch::task_step const& step =
        job.steps[static_cast<std::size_t>(task.step)];
    std::uint64_t const seed = this->shared.settings.seed;
    int const index = step.gang ? 0 : task.index;
    std::string const name =
        job.id + "." + std::to_string(task.step) + "." + std::to_string(index);
    out.known = true;
    out.size = step.size;
    out.work = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) *
                                  (0.5 + draw_of(seed, name))));
    out.fails =
        draw_of(seed, name + "#" + std::to_string(run)) < failing_runs ||
        draw_of(seed, job.id) < poison_jobs;
    out.gang_members = step.gang ? step.count : 0;
    out.needs_ticket = job.queue.advice.has_value();
    return out;
}

void callers::hand_in()
{
    if (!this->open)
    {
        return;
    }
    auto made = std::make_shared<caller_job>();
    made->job = this->draw_job();
    made->cancel_wanted = this->shared.chance(0.06);
    this->jobs[made->job.id] = made;
    this->shared.judge.submitted(made->job);
    this->shared.report.handed_in += 1;
    this->submit(made);
    this->leave_early(made);
    double const gap = -std::log(1.0 - this->shared.draw(0.0, 0.999)) * 1000.0 /
                       this->shared.settings.jobs_per_second;
    this->shared.after(milliseconds(static_cast<std::int64_t>(gap)),
                       [this]
                       {
                           this->hand_in();
                       });
}

/** Any cut of a connection by a daemon that nobody hurt is a breach. */
void callers::call(http_request const& request,
                   std::function<void(result<http_reply> const&)> const& then)
{
    bool const leaving = this->shared.chance(share_on_leaving);
    daemon_seat* const seat =
        this->daemons.seats[this->daemons.choose(leaving)].get();
    instant const sent = steady_now();
    seat->client->call(
        request,
        call_limit,
        [this, seat, sent, request, then](result<http_reply> const& reply)
        {
            milliseconds const took = steady_now() - sent;
            // A soak that is late itself measures its own lateness.
            bool const cut = !reply.has_value() &&
                             reply.assume_error().code == error_code::unknown &&
                             took > cut_slack + this->shared.lateness &&
                             took < call_limit - cut_slack;
            if (cut && seat->hurt_at < sent && !seat->paused)
            {
                this->shared.breach(seat->name + " cut " + request.method +
                                    " " + request.target + " after " +
                                    std::to_string(took.count()) +
                                    " ms: " + reply.assume_error().message +
                                    (seat->stop_sent ? " in its stop" : ""));
            }
            then(reply);
        });
}

void callers::submit(std::shared_ptr<caller_job> const& of)
{
    of->attempts += 1;
    this->call(standin::submit_request(of->job, call_limit),
               [this, of](result<http_reply> const& reply)
               {
                   this->take_submit(of, reply);
               });
}

/** Some callers leave before the answer and cancel their job, which may not be
 * stored yet. */
void callers::leave_early(std::shared_ptr<caller_job> const& of)
{
    std::uint64_t const seed = this->shared.settings.seed;
    if (draw_of(seed, of->job.id + "#leaves") >= leaving_callers)
    {
        return;
    }
    double const stay = draw_of(seed, of->job.id + "#stay") * longest_stay_ms;
    this->shared.after(milliseconds(static_cast<std::int64_t>(stay)),
                       [this, of]
                       {
                           if (!of->accepted && !of->given_up)
                           {
                               of->left = true;
                               this->cancel(of);
                           }
                       });
}

void callers::take_submit(std::shared_ptr<caller_job> const& of,
                          result<http_reply> const& reply)
{
    if (of->left)
    {
        return;
    }
    int const status = reply.has_value() ? reply.assume_value().status : 0;
    if (status == 200)
    {
        of->accepted = true;
        of->accepted_at = steady_now();
        of->next_ask = of->accepted_at + ask_period;
        this->shared.report.accepted += 1;
        if (of->cancel_wanted)
        {
            this->shared.after(milliseconds(this->shared.draw_int(0, 2000)),
                               [this, of]
                               {
                                   this->cancel(of);
                               });
        }
        return;
    }
    bool const not_run = status == 429 || status == 503 ||
                         (!reply.has_value() &&
                          reply.assume_error().code == error_code::unavailable);
    of->uncertain = of->uncertain || !not_run;
    if (!not_run && status != 0 && status != 502 && status != 504)
    {
        this->shared.breach("a good job got " + std::to_string(status));
    }
    // An uncertain job is asked again until it is known; a refused one is not.
    if (!of->uncertain && of->attempts >= most_attempts)
    {
        of->given_up = true;
        this->shared.report.refused += 1;
        this->shared.judge.rejected(of->job.id);
        return;
    }
    this->shared.after(milliseconds(this->shared.draw_int(200, 1500)),
                       [this, of]
                       {
                           if (!of->left)
                           {
                               this->submit(of);
                           }
                       });
}

void callers::cancel(std::shared_ptr<caller_job> const& of)
{
    if (!of->cancel_sent)
    {
        of->cancel_sent = true;
        this->shared.judge.cancel_sent(of->job.id);
    }
    this->call(standin::cancel_request(of->job),
               [this, of](result<http_reply> const& reply)
               {
                   int const status =
                       reply.has_value() ? reply.assume_value().status : 0;
                   if (status == 200)
                   {
                       of->cancelled = true;
                       of->accepted = true; // if its answer had no listener
                       this->shared.judge.cancelled(of->job.id, steady_now());
                       return;
                   }
                   if (status == 410)
                   {
                       this->take_unknown_job(of);
                       return;
                   }
                   this->shared.after(milliseconds{500},
                                      [this, of]
                                      {
                                          this->cancel(of);
                                      });
               });
}

/** A job that wasn't known when it was cancelled must never run. */
void callers::take_unknown_job(std::shared_ptr<caller_job> const& of)
{
    if (of->accepted)
    {
        this->shared.breach("an accepted job isn't known: " + of->job.id);
        return;
    }
    of->given_up = true;
    this->shared.report.refused += 1;
    this->shared.judge.rejected(of->job.id);
}

void callers::ask(std::shared_ptr<caller_job> const& of)
{
    of->asking = true;
    this->call(standin::query_request(of->job),
               [this, of](result<http_reply> const& reply)
               {
                   of->asking = false;
                   of->next_ask = steady_now() + ask_period;
                   if (!reply.has_value())
                   {
                       return;
                   }
                   if (reply.assume_value().status == 410 && !of->cancel_sent &&
                       steady_now() > of->accepted_at + visible_after)
                   {
                       this->shared.breach("an accepted job isn't known: " +
                                           of->job.id);
                   }
                   std::optional<batch::job_state> const state =
                       standin::decode_state(reply.assume_value());
                   if (!state)
                   {
                       return;
                   }
                   if (of->state && is_over(*of->state) &&
                       *of->state != *state && !of->cancel_sent)
                   {
                       this->shared.breach("an ended job changed its state: " +
                                           of->job.id);
                   }
                   of->state = state;
                   this->shared.judge.state_reported(of->job.id, *state);
               });
}

void callers::ask_all()
{
    instant const now = steady_now();
    for (auto const& entry : this->jobs)
    {
        caller_job const& of = *entry.second;
        bool const open_yet = !of.state || !is_over(*of.state);
        if (of.accepted && open_yet && !of.asking && now >= of.next_ask)
        {
            this->ask(entry.second);
        }
    }
    this->shared.after(milliseconds{50},
                       [this]
                       {
                           this->ask_all();
                       });
}

bool callers::all_over() const
{
    return std::all_of(this->jobs.begin(),
                       this->jobs.end(),
                       [](auto const& entry)
                       {
                           caller_job const& of = *entry.second;
                           return of.given_up || (of.accepted && of.state &&
                                                  is_over(*of.state));
                       });
}

void callers::finish()
{
    for (auto const& entry : this->jobs)
    {
        caller_job const& of = *entry.second;
        if (!of.accepted)
        {
            this->shared.judge.acceptance_unconfirmed(entry.first);
            if (!of.given_up)
            {
                this->shared.breach("a job was never answered: " + entry.first);
            }
            continue;
        }
        if (of.state == batch::job_state::completed)
        {
            this->shared.report.completed += 1;
        }
        else if (of.state == batch::job_state::failed)
        {
            this->shared.report.failed += 1;
        }
        else if (of.state == batch::job_state::cancelled)
        {
            this->shared.report.cancelled += 1;
        }
    }
    this->shared.judge.check_all_ended();
}

} // namespace cicada::soak
