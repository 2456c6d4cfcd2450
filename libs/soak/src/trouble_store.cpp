#include "trouble.hpp"

namespace cicada::soak
{

void trouble::store_refuses()
{
    this->of_store.refuses = true;
    this->all.store.set_faults(this->of_store);
    this->until(this->long_span(300, 4000, 13'000),
                [this]
                {
                    this->of_store.refuses = false;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_is_slow()
{
    this->of_store.delay = this->span(30, 400);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 4000),
                [this]
                {
                    this->of_store.delay = milliseconds{0};
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_loses_answers()
{
    this->of_store.answers_lost = this->shared.draw(0.05, 0.5);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 3000),
                [this]
                {
                    this->of_store.answers_lost = 0.0;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_is_late()
{
    this->of_store.changes_late = this->shared.draw(0.05, 0.3);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 3000),
                [this]
                {
                    this->of_store.changes_late = 0.0;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_forgets()
{
    this->all.store.forget_history();
}

void trouble::leases_end()
{
    this->all.store.end_leases();
}

} // namespace cicada::soak
