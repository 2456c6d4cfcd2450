#pragma once

#include "describe_model.hpp"

/** The fields of the messages between daemons; adverts, which are sent most,
 * have short names. */
namespace cicada
{

template <class Archive, like<pool_advert> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("p", value.pool);
    archive.field("s", value.slots);
    archive.field("f", value.free_slots);
    archive.field("q", value.queued);
    archive.field("ms", value.expected_wait);
}

template <class Archive, like<heartbeat> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("note_number", value.note_number);
    archive.field("table_version", value.table_version);
    archive.field("leaving", value.leaving);
    archive.field("free", value.free);
    archive.field("largest_free", value.largest_free);
    archive.field("adverts", value.adverts);
}

template <class Archive, like<slot_request> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("request", value.request);
    archive.field("pool", value.pool);
    archive.field("workload", value.workload);
    archive.field("tenant", value.tenant);
    archive.field("class", value.urgency);
    archive.field("remaining_ms", value.remaining);
}

template <class Archive, like<slot_grant> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("request", value.request);
    archive.field("attempt", value.attempt);
    archive.field("endpoint", value.endpoint);
    archive.field("address", value.where);
    archive.field("shard", value.shard);
    archive.field("epoch", value.since);
    archive.field("start_within_ms", value.start_within);
}

template <class Archive, like<slot_refusal> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("request", value.request);
    archive.field("reason", value.reason);
    archive.field("retry_after_ms", value.retry_after);
}

template <class Archive, like<slot_cancel> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("request", value.request);
}

template <class Archive, like<slot_return> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("attempt", value.attempt);
    archive.field("endpoint", value.endpoint);
    archive.field("result", value.result);
    archive.field("endpoint_error", value.endpoint_error);
    archive.field("service_time_ms", value.service_time);
}

template <class Archive, like<attempt_settled> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("attempt", value.attempt);
    archive.field("ran", value.ran);
}

template <class Archive, like<note_offer> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("number", value.number);
    archive.field("text", value.text);
}

template <class Archive, like<table_offer> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("table", value.table);
}

template <class Archive, like<job_offer> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("job", value.job);
}

template <class Archive, like<job_cancel> Value>
void describe(Archive& archive, Value& value)
{
    archive.field("job", value.job);
    archive.field("home", value.home);
}

} // namespace cicada
