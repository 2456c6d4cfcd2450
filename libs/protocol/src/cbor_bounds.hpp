#pragma once

#include <string>

namespace cicada
{

/**
 * True if `bytes` begin with one CBOR item that nests at most `max_nesting`
 * deep and whose lengths all lie within the input. Items of indefinite length
 * are out: the project's encoder makes none, and the library's reader recurses
 * on them without a bound.
 */
bool cbor_is_bounded(std::string const& bytes, int max_nesting);

} // namespace cicada
