#pragma once

#include "state.hpp"

/** One pass of placing: what its parts share. docs/design/placement.md */
namespace cicada::batch
{

/** A step with tasks to place, in the order of placing. */
struct waiting_step
{
    job_record* j = nullptr;
    int step = 0;
    int rank = 0;         //!< lower is placed first
    bool late = false;    //!< by estimate, its objective can't be met any more
    instant latest_start; //!< by estimate, to meet the objective

    task_step const& shape() const
    {
        return this->j->accepted.steps[static_cast<std::size_t>(this->step)];
    }

    step_record& record() const
    {
        return this->j->steps[static_cast<std::size_t>(this->step)];
    }
};

/** A usable worker in one pass. */
struct slot
{
    worker_record* w = nullptr;
    resources free;        //!< less what steps before have asked advice for
    resources leaving;     //!< of runs that are being stopped
    instant free_at;       //!< when its last run is expected to end
    bool reserved = false; //!< a gang waits for it
};

/** What is free in one pass; later steps see what earlier ones leave. */
struct free_room
{
    std::vector<slot> slots;
    std::vector<slot*> by_number; //!< of the worker; null: not usable
    std::int64_t most_cores = 0;  //!< of one slot, when the pass began

    slot* at(std::uint32_t number) const
    {
        return number < this->by_number.size() ? this->by_number[number]
                                               : nullptr;
    }
};

/** A slot that one step may use, with how many of its tasks fit. */
struct candidate
{
    slot* at = nullptr;
    int room = 0;
    bool near = true; //!< in the rack of the step's data
};

/** The slots that the advisor allows a step, or all if it has none. */
struct choices
{
    std::vector<candidate> ready;
    std::vector<candidate> expired; //!< allowed, the ticket has run out
    std::size_t known = 0;          //!< slots that were asked about
};

// ---- room.cpp

free_room gather_room(scheduler& s);

/** How many tasks of the step fit into the slot now. */
int room_for(slot const& at, waiting_step const& step);

int total_room(std::vector<candidate> const& all);

/** Forgets advice about earlier lives of workers. */
choices
choices_for(scheduler const& s, waiting_step const& step, free_room& room);

/** Slots that the advisor wasn't asked about. */
std::vector<candidate> unasked_for(waiting_step const& step, free_room& room);

/** Every slot that may run the step, whether it has room or not. */
std::vector<slot*> allowed_slots(waiting_step const& step, free_room& room);

/**
 * Asks about as many as it takes to find room for the step's waiting tasks, by
 * the share that its queue was allowed so far: `known` are allowed for sure,
 * `unknown` perhaps. Keeps the room of single tasks.
 */
void ask_about(scheduler& s,
               waiting_step const& step,
               std::vector<candidate> known,
               std::vector<candidate> unknown);

/** Room that an advice call on its way is about isn't offered to others. */
void hold_asked_room(waiting_step const& step, free_room& room);

/** Starts one task, unless the worker still has an earlier run of it. */
void start_one(scheduler& s,
               waiting_step const& step,
               int index,
               std::uint64_t run,
               slot& at);

/** The most room first, so that a gang spans few workers. */
bool roomier(candidate const& left, candidate const& right);

std::string rack_of(worker_record const& w);

// ---- gangs.cpp

void place_gang(scheduler& s, waiting_step const& step, free_room& room);

} // namespace cicada::batch
