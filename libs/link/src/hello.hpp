#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cicada
{

/** The first message of each side on a new connection. */
struct hello
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    std::uint64_t dial = 0; //!< grows with each dial of one incarnation
    std::string token;
};

/** JSON text. */
std::string encode_hello(hello const& value);

/** The hello in a text; none if it isn't one. */
std::optional<hello> decode_hello(std::string const& text);

/**
 * True if a connection that begins with `fresh` may replace the one that began
 * with `up`: a later dial, or another start of the dialing daemon.
 */
bool replaces(hello const& up, hello const& fresh);

/** Compares in a time that doesn't depend on where they differ. */
bool tokens_match(std::string const& left, std::string const& right);

} // namespace cicada
