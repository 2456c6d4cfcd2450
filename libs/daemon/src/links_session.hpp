#pragma once

#include "link/link.hpp"
#include "loop.hpp"

/** The links to the peers, as the reducer sees them. */
namespace cicada
{

class links_session
{
public:
    /** `run` outlives this object. */
    links_session(loop& run, link_settings const& settings);

    /** Listens. Errors: unavailable. */
    result<std::uint16_t> start();

    void carry_out(send_peer const& effect);
    void carry_out(want_peer const& effect);

    link_counters counters() const;

    /** Drops all links. */
    void stop();

private:
    link_handlers make_handlers();
    void take(std::string const& peer, std::string const& bytes);

    loop& run;
    std::unique_ptr<peer_link> link;
};

} // namespace cicada
