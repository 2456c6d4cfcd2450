#include "store_session.hpp"

#include "keys.hpp"
#include "store_outcomes.hpp"

namespace cicada
{

void store_session::read_cell()
{
    this->client.range(range_request{keys::watched_prefix, true, 0, {}},
                       this->settings.store_timeout,
                       [this](result<range_answer> const& answer)
                       {
                           this->run.post(
                               [this, answer]
                               {
                                   this->heard(answer.has_value());
                                   if (answer.has_value())
                                   {
                                       this->take_cell(answer.assume_value());
                                       return;
                                   }
                                   this->run.after(rejoin_delay,
                                                   [this]
                                                   {
                                                       this->read_cell();
                                                   });
                               });
                       });
}

void store_session::take_cell(range_answer const& cell)
{
    this->members.clear();
    this->members_changed = true;
    bool table = false;
    for (key_value const& value : cell.values)
    {
        table = table || value.key == keys::ownership;
        this->take_value(value);
    }
    if (!table)
    {
        this->run.feed(table_seen{});
    }
    this->tell_members();
    this->check_expiry();
    if (this->watching)
    {
        return;
    }
    this->watching = true;
    this->client.watch(keys::watched_prefix,
                       cell.revision + 1,
                       [this](watch_event const& happened)
                       {
                           this->run.post(
                               [this, happened]
                               {
                                   this->take_watch(happened);
                               });
                       });
}

void store_session::take_value(key_value const& value)
{
    if (value.key == keys::ownership)
    {
        result<ownership_table> const table = decode_table(value.value);
        if (table.has_value())
        {
            this->table_version = table.assume_value().version;
            this->table_revision = value.mod_revision;
            this->run.feed(table_seen{table.assume_value()});
        }
        return;
    }
    if (value.key == keys::config)
    {
        result<cell_config> const config = decode_config(value.value);
        if (config.has_value())
        {
            this->run.feed(config_seen{config.assume_value()});
        }
        return;
    }
    if (value.key.starts_with(keys::members_prefix))
    {
        result<member> const read = decode_member(value.value);
        if (read.has_value())
        {
            this->members[read.assume_value().name] = read.assume_value();
            this->members_changed = true;
        }
    }
}

void store_session::take_watch(watch_event const& happened)
{
    if (std::holds_alternative<watch_reset>(happened))
    {
        this->read_cell();
        return;
    }
    if (!std::holds_alternative<watch_changes>(happened))
    {
        return;
    }
    for (key_change const& change : std::get<watch_changes>(happened).changes)
    {
        this->take_change(change);
    }
    this->tell_members();
}

void store_session::take_change(key_change const& change)
{
    if (!change.deleted)
    {
        this->take_value(change.now);
        return;
    }
    if (change.now.key.starts_with(keys::members_prefix))
    {
        daemon_id const name{
            change.now.key.substr(std::size(keys::members_prefix) - 1)};
        this->members.erase(name);
        this->members_changed = true;
    }
}

void store_session::tell_members()
{
    if (!this->members_changed)
    {
        return;
    }
    this->members_changed = false;
    members_seen seen;
    for (auto const& [name, each] : this->members)
    {
        seen.members.push_back(each);
    }
    this->run.feed(seen);
}

void store_session::carry_out(propose_table const& effect)
{
    ownership_table const table = effect.table;
    if (table.version != this->table_version + 1)
    {
        this->run.post(
            [this, table]
            {
                this->run.feed(table_proposed{table, write_outcome::refused});
            });
        return;
    }
    key_put const put{keys::ownership, encode_table(table), lease_id{}};
    this->client.commit(
        replace_key(put, this->table_revision),
        this->settings.store_timeout,
        [this, table](txn_answer const& answer)
        {
            this->run.post(
                [this, table, answer]
                {
                    bool const done = answer.outcome == txn_outcome::done;
                    if (done && table.version > this->table_version)
                    {
                        this->table_version = table.version;
                        this->table_revision = answer.revision;
                    }
                    this->run.feed(
                        table_proposed{table, outcome_of(answer.outcome)});
                });
        });
}

} // namespace cicada
