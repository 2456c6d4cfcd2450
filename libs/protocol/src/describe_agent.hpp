#pragma once

#include "describe_model.hpp"

/** The fields of the orders to workers and endpoints and of their answers. */
namespace cicada
{

template <class Archive, like<sync_order> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("owner", value.owner);
    archive.field("epoch", value.since);
    archive.field("seen", value.seen);
    archive.field("wait_ms", value.wait);
    archive.field("renew", value.renew);
}

template <class Archive, like<start_order> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("epoch", value.since);
    archive.field("task", value.task);
    archive.field("workload", value.workload);
    archive.field("size", value.size);
    archive.field("run_time_ms", value.run_time);
    archive.field("lease_ms", value.lease);
}

template <class Archive, like<cancel_order> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("epoch", value.since);
    archive.field("run", value.run);
    archive.field("checkpoint", value.checkpoint);
}

template <class Archive, like<run_report> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("run", value.run);
    archive.field("state", value.state);
    archive.field("size", value.size);
    archive.field("used", value.used);
}

template <class Archive, like<agent_report> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("epoch", value.since);
    archive.field("version", value.version);
    archive.field("draining", value.draining);
    archive.field("capacity", value.capacity);
    archive.field("slots", value.slots);
    archive.field("runs", value.runs);
}

template <class Archive, like<run_answer> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("state", value.state);
}

template <class Archive, like<agent_refusal> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("epoch", value.since);
    archive.field("reason", value.reason);
}

} // namespace cicada
