#pragma once

#include "base/base.hpp"

/** Base64 with padding, as JSON carries bytes. Pure functions. */
namespace cicada
{

/** The text of any bytes; without line breaks. */
std::string to_base64(std::string const& bytes);

/** Errors: invalid_input. */
result<std::string> from_base64(std::string const& text);

} // namespace cicada
