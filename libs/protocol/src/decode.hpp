#pragma once

#include "json_codec.hpp"

/** From bytes to JSON values and on to typed ones, with bounds. */
namespace cicada
{

constexpr std::size_t max_input_bytes = std::size_t{4} << 20;
constexpr int max_nesting = 16; //!< deepest array or object that is read

/** The error of a message that breaks its format. */
error invalid_input(std::string message);

/** Reads JSON text. Errors: invalid_input, also if too long or too deep. */
result<json> parse_text(std::string const& text);

/** Reads CBOR. Errors: invalid_input, also if too long or too deep. */
result<json> parse_cbor(std::string const& bytes);

/** JSON text in one line; bytes that aren't UTF-8 are replaced. */
std::string print_text(json const& value);

/** Takes a typed value out of a JSON value. Errors: invalid_input. */
template <class T>
result<T> from_json(json const& in)
{
    T value;
    std::string problem;
    if (codec<T>::read(in, value, problem))
    {
        return value;
    }
    return invalid_input(problem.empty() ? "not of the wanted kind" : problem);
}

/** Takes a typed value out of JSON text. Errors: invalid_input. */
template <class T>
result<T> from_text(std::string const& text)
{
    result<json> const parsed = parse_text(text);
    if (!parsed.has_value())
    {
        return parsed.assume_error();
    }
    return from_json<T>(parsed.assume_value());
}

} // namespace cicada
