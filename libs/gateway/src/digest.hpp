#pragma once

#include <memory>
#include <string>
#include <string_view>

struct XXH64_state_s;

/** Digests of bodies: xxHash64, as 16 lower-case hexadecimal digits. */
namespace cicada
{

/** The digest of a whole body. */
std::string digest_of(std::string_view body);

/** The digest of a body that comes in pieces. */
class running_digest
{
public:
    running_digest();

    void add(std::string_view piece);

    /** Of all that was added. */
    std::string value() const;

private:
    std::shared_ptr<XXH64_state_s> state;
};

} // namespace cicada
