#include "digest.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace cicada
{
namespace
{

constexpr std::size_t digest_digits = 16;

std::string hexadecimal(XXH64_hash_t value)
{
    std::array<char, digest_digits + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx",
                  static_cast<unsigned long long>(value));
    return {text.data(), digest_digits};
}

} // namespace

std::string digest_of(std::string_view body)
{
    return hexadecimal(XXH64(body.data(), body.size(), 0));
}

running_digest::running_digest()
    : state(XXH64_createState(),
            [](XXH64_state_t* owned)
            {
                XXH64_freeState(owned);
            })
{
    XXH64_reset(this->state.get(), 0);
}

void running_digest::add(std::string_view piece)
{
    XXH64_update(this->state.get(), piece.data(), piece.size());
}

std::string running_digest::value() const
{
    return hexadecimal(XXH64_digest(this->state.get()));
}

} // namespace cicada
