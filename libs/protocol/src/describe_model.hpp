#pragma once

#include "json_codec.hpp"

/** The fields of the values that are kept in the platform's service. */
namespace cicada
{

template <class Archive, like<address> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("host", value.host);
    archive.field("port", value.port);
}

template <class Archive, like<resources> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("milli_cores", value.milli_cores);
    archive.field("memory_mib", value.memory_mib);
    archive.field("accelerators", value.accelerators);
}

template <class Archive, like<workload> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("kind", value.kind);
    archive.field("class", value.urgency);
    archive.field("idempotent", value.idempotent);
    archive.field("pool", value.pool);
    archive.field("deadline_ms", value.deadline);
    archive.field("size", value.size);
    archive.field("tasks", value.tasks);
    archive.field("placement", value.placement);
}

template <class Archive, like<tenant_limits> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("weight", value.weight);
    archive.field("floor_percent", value.floor_percent);
    archive.field("max_queued", value.max_queued);
    archive.optional_field("job_quota", value.job_quota);
}

template <class Archive, like<cell_policies> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("retry_attempts", value.retry_attempts);
    archive.field("retry_budget_percent", value.retry_budget_percent);
    archive.field("preemption", value.preemption);
    archive.field("checkpoint_grace_ms", value.checkpoint_grace);
}

template <class Archive, like<cell_config> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("note_number", value.note_number);
    archive.field("workloads", value.workloads);
    archive.field("tenants", value.tenants);
    archive.field("policies", value.policies);
}

template <class Archive, like<member> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("name", value.name);
    archive.field("zone", value.zone);
    archive.field("link", value.link);
    archive.field("operators", value.operators);
    archive.field("leaving", value.leaving);
    archive.field("version", value.version);
}

template <class Archive, like<shard_owner> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("owner", value.owner);
    archive.field("epoch", value.since);
}

template <class Archive, like<ownership_table> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("version", value.version);
    archive.field("shards", value.shards);
}

template <class Archive, like<instance> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("name", value.name);
    archive.field("kind", value.kind);
    archive.field("zone", value.zone);
    archive.field("shard", value.shard);
    archive.field("address", value.where);
    archive.field("leaving", value.leaving);
    archive.field("capacity", value.capacity);
    archive.field("pool", value.pool);
    archive.field("slots", value.slots);
}

template <class Archive, like<intent> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("tenant", value.tenant);
    archive.field("key", value.key);
    archive.field("workload", value.workload);
    archive.field("body_digest", value.body_digest);
    archive.field("attempt", value.attempt);
    archive.field("endpoint", value.endpoint);
    archive.field("epoch", value.since);
    archive.field("state", value.state);
    archive.field("status", value.status);
}

template <class Archive, like<task_record> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("index", value.index);
    archive.field("attempt", value.attempt);
    archive.field("worker", value.worker);
    archive.field("done", value.done);
}

template <class Archive, like<job_record> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("name", value.name);
    archive.field("tenant", value.tenant);
    archive.field("workload", value.workload);
    archive.field("class", value.urgency);
    archive.field("gang", value.gang);
    archive.field("size", value.size);
    archive.field("run_time_ms", value.run_time);
    archive.field("home", value.home);
    archive.field("state", value.state);
    archive.field("tasks", value.tasks);
}

} // namespace cicada
