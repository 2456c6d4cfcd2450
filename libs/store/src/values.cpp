#include "store/store.hpp"

namespace cicada
{

namespace
{

txn guarded(std::string const& key, std::int64_t mod_revision)
{
    txn made;
    made.compares.push_back({key, mod_revision});
    made.otherwise.push_back({key, false, 0, ""});
    return made;
}

} // namespace

txn create_key(key_put const& wanted)
{
    return replace_key(wanted, 0);
}

txn replace_key(key_put const& wanted, std::int64_t mod_revision)
{
    txn made = guarded(wanted.key, mod_revision);
    made.puts.push_back(wanted);
    return made;
}

txn delete_key(std::string const& key, std::int64_t mod_revision)
{
    txn made = guarded(key, mod_revision);
    made.deletes.push_back(key);
    return made;
}

char const* to_string(txn_outcome outcome)
{
    switch (outcome)
    {
    case txn_outcome::done:
        return "done";
    case txn_outcome::refused:
        return "refused";
    case txn_outcome::failed:
        return "failed";
    case txn_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace cicada
