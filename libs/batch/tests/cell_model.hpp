#pragma once

#include "worker_model.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

/**
 * A cell of placers, workers, an advisor and the store on one simulated clock,
 * with faults drawn from a seed: the order of deliveries is part of the draw.
 */
namespace cicada::batch::model
{

/** How often each fault strikes; shares are of calls, or a second. */
struct faults
{
    double lost_answer = 0.0;   //!< of calls: carried out, not answered
    double late_order = 0.0;    //!< of orders: carried out seconds later
    double store_unknown = 0.0; //!< of saves: done or not, not answered
    double take_overs = 0.0;    //!< a second; the old placer lives on a while
    double crashes = 0.0;       //!< a second, of any worker
    double cuts = 0.0;          //!< a second: a worker is out of reach for 8 s
    double leaves = 0.0;        //!< a second: a worker goes, another comes
    double store_downs = 0.0;   //!< a second: saves are refused for 5 s
    double late_save = 0.0;     //!< of saves: not answered, done seconds later
    double task_fails = 0.02;   //!< of runs
    double cancels = 0.02;      //!< of jobs
    double duplicates = 0.0;    //!< of jobs: told to the placer again later

    bool operator==(faults const&) const = default;
};

struct model_settings
{
    std::uint32_t seed = 1;
    faults trouble;
    milliseconds load{15'000};  //!< jobs come this long
    milliseconds quiet{60'000}; //!< then nothing fails
    double jobs_per_second = 12.0;
    int workers = 8;
};

class cell_model
{
public:
    explicit cell_model(model_settings const& settings);

    void run();

    checker judge;
    int jobs_done = 0;

private:
    struct placer
    {
        scheduler_ptr state;
        std::uint64_t epoch = 0;
        std::uint64_t read_at = 0; //!< the store's revision it began with
        bool alive = true;
    };

    void at(milliseconds delay, std::function<void()> what);
    milliseconds latency();
    bool chance(double share);
    void tick();
    void pass_gangs(milliseconds span);
    void hand_in();
    job draw_job();
    void tell_job(std::string const& id, std::uint64_t revision);
    void take_over();
    void feed(std::size_t placer, event_body body);
    void deliver(std::size_t placer, effect const& what);
    void deliver_look(std::size_t placer, poll_worker const& look);
    void deliver_start(std::size_t placer, start_task const& order);
    void deliver_stop(std::size_t placer, stop_task const& order);
    void deliver_advice(std::size_t placer, request_advice const& call);
    void deliver_save(std::size_t placer, save_progress const& call);
    progress_saved store_progress(std::size_t placer,
                                  save_progress const& call);
    void replace_worker(std::size_t which);
    void reply(std::size_t placer, event_body answer, event_body silence);
    worker_model* reach(std::string const& worker);

    struct scheduled
    {
        instant when;
        std::uint64_t order = 0;
        std::function<void()> what;
    };

    struct later
    {
        bool operator()(scheduled const& left, scheduled const& right) const
        {
            return left.when != right.when ? left.when > right.when
                                           : left.order > right.order;
        }
    };

    model_settings settings;
    std::mt19937 random;
    instant now{milliseconds{1'000'000}};
    instant calm_from;
    std::uint64_t scheduled_count = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, later> agenda;
    std::vector<std::unique_ptr<worker_model>> workers;
    std::vector<placer> placers;
    std::uint64_t revision = 1;
    std::uint64_t epoch = 0;
    std::map<std::string, std::pair<job, std::uint64_t>> jobs; //!< open ones
    std::map<std::string, std::pair<std::string, std::uint64_t>> progress;
    std::set<std::string> cancels;
    std::int64_t births = 1;
    instant store_up;
    int handed_in = 0;
    std::vector<std::unique_ptr<worker_model>> gone;
};

} // namespace cicada::batch::model
