#include "operators_session.hpp"

#include "events_log/events_log.hpp"

#include <future>

namespace cicada
{
namespace
{

constexpr seconds longest_ask{2};

} // namespace

operators_session::operators_session(loop& run) : run(run) {}

result<void> operators_session::open(operators_parts const& given)
{
    this->parts = given;
    result<std::unique_ptr<operators_server>> opened =
        operators_server::open(given.where,
                               given.token,
                               this->make_callbacks(),
                               note_publisher(*given.store_calls));
    if (!opened.has_value())
    {
        return opened.assume_error();
    }
    this->server = std::move(opened.assume_value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void operators_session::stop_answering()
{
    this->ending = true;
}

void operators_session::close()
{
    this->server.reset();
}

template <class Value>
Value operators_session::ask(std::function<Value()> const& read)
{
    auto const answer = std::make_shared<std::promise<Value>>();
    std::future<Value> coming = answer->get_future();
    this->run.post(
        [answer, read]
        {
            answer->set_value(read());
        });
    bool const came = !this->ending &&
                      coming.wait_for(longest_ask) == std::future_status::ready;
    return came ? coming.get() : Value{};
}

operators_callbacks operators_session::make_callbacks()
{
    operators_callbacks callbacks;
    callbacks.view = [this]
    {
        return this->ask<operators_view>(
            [this]
            {
                return this->read_view();
            });
    };
    callbacks.explain = [this](std::string const& id)
    {
        return this->ask<std::string>(
            [this, id]
            {
                return explain(*this->parts.reducer, id);
            });
    };
    callbacks.metrics = [this]
    {
        return this->read_metrics();
    };
    callbacks.drain = [this]
    {
        this->run.post(this->parts.drain);
    };
    callbacks.log = [](int number, std::string const& detail)
    {
        write_event(number, detail);
    };
    return callbacks;
}

operators_view operators_session::read_view() const
{
    operators_view view;
    view.self = this->parts.self;
    view.store_up = this->parts.store->reachable();
    view.state = view_of(*this->parts.reducer);
    view.config = config_of(*this->parts.reducer);
    view.self.leaving = view.state.leaving;
    view.daemons.push_back({view.self, view.state.note_number, true});
    for (peer_view const& peer : view.state.peers)
    {
        view.daemons.push_back({peer.info, peer.note_number, peer.linked});
    }
    return view;
}

std::string operators_session::read_metrics()
{
    state_view const view = this->ask<state_view>(
        [this]
        {
            return view_of(*this->parts.reducer);
        });
    store_counts const calls = this->parts.store_calls->counts();
    std::vector<gauge> const gauges{
        {"requests_in_flight", view.requests_in_flight},
        {"requests_queued", view.requests_queued},
        {"slots_taken", view.slots_taken},
        {"note_number", static_cast<std::int64_t>(view.note_number)},
        {"shards_owned", std::ssize(view.owned)},
        {"store_reads", calls.reads},
        {"store_writes", calls.writes},
        {"store_lease_calls", calls.leases}};
    return this->parts.metrics->exposition(gauges);
}

} // namespace cicada
