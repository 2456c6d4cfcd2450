#include "store_session.hpp"

#include "keys.hpp"
#include "store_outcomes.hpp"

namespace cicada
{
namespace
{

std::optional<intent> existing_intent(txn_answer const& answer)
{
    if (answer.existing.empty())
    {
        return std::nullopt;
    }
    result<intent> const read = decode_intent(answer.existing.front().value);
    return read.has_value() ? std::optional<intent>(read.assume_value())
                            : std::nullopt;
}

} // namespace

void store_session::commit_intent(write_intent const& effect,
                                  txn const& request)
{
    this->client.commit(
        request,
        this->settings.store_timeout,
        [this, effect](txn_answer const& answer)
        {
            this->run.post(
                [this, effect, answer]
                {
                    this->run.feed(intent_written{effect.request,
                                                  outcome_of(answer.outcome),
                                                  existing_intent(answer)});
                });
        });
}

void store_session::replace_intent(write_intent const& effect,
                                   key_value const& stored)
{
    result<intent> const read = decode_intent(stored.value);
    bool const same =
        read.has_value() && read.assume_value().attempt == *effect.replaces;
    if (!same)
    {
        std::optional<intent> existing;
        if (read.has_value())
        {
            existing = read.assume_value();
        }
        this->run.feed(
            intent_written{effect.request, write_outcome::refused, existing});
        return;
    }
    key_put const put{
        stored.key, encode_intent(effect.value), this->record_lease};
    this->commit_intent(effect, replace_key(put, stored.mod_revision));
}

void store_session::carry_out(write_intent const& effect)
{
    std::string const key =
        keys::intent_key(effect.value.tenant, effect.value.key);
    if (!effect.replaces)
    {
        key_put const put{key, encode_intent(effect.value), this->record_lease};
        this->commit_intent(effect, create_key(put));
        return;
    }
    this->client.range(
        range_request{key, false, 0, {}},
        this->settings.store_timeout,
        [this, effect](result<range_answer> const& answer)
        {
            this->run.post(
                [this, effect, answer]
                {
                    bool const found = answer.has_value() &&
                                       !answer.assume_value().values.empty();
                    if (!found)
                    {
                        this->run.feed(intent_written{effect.request,
                                                      write_outcome::failed,
                                                      std::nullopt});
                        return;
                    }
                    this->replace_intent(effect,
                                         answer.assume_value().values.front());
                });
        });
}

} // namespace cicada
