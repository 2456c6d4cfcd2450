#pragma once

#include "kv_codec.hpp"

#include "standin_store/standin_store.hpp"

#include <random>

/**
 * All that the stand-in answers but watches, with its faults: what each call
 * is answered, when, and whether the answer is lost. Pure; one thread.
 */
namespace cicada::standin
{

/** A version of the instance list, and from when on it is shown. */
struct listed
{
    instant shown_from;
    std::string json;
    std::int64_t version = 0;
};

/** The whole state of the stand-in but its connections. */
struct platform_state
{
    kv_state keys;
    standin_calls calls;
    std::vector<listed> lists{listed{instant{}, "[]", 1}};
    milliseconds instance_lag{0};
    bool down = false;
    milliseconds slow{0};
    int lose_answers = 0;
    double lose_probability = 0.0;
    std::mt19937_64 random;
};

/** One HTTP call, as far as it matters. */
struct platform_call
{
    std::string method; //!< "GET", "POST" or "PUT"
    std::string path;
    std::string body;
    std::string if_none_match; //!< header
    bool control = false;      //!< came in at the control port
};

/** What becomes of it. */
struct platform_plan
{
    http_reply reply;
    std::string etag;      //!< header; empty: none
    milliseconds delay{0}; //!< before the answer
    bool lose = false;     //!< close the connection in place of an answer
    bool silence = false;  //!< open connections go silent, by command
    bool watch = false;    //!< not answered here: it is a watch
};

/** Puts faults in force, but for what concerns open connections. */
void apply_faults(platform_state& state, standin_faults const& faults);

/** Replaces the instance list, shown after its lag. */
void replace_list(platform_state& state, instant now, std::string const& json);

/** Takes a call: its effect is in force on return. */
platform_plan
take_call(platform_state& state, instant now, platform_call const& call);

} // namespace cicada::standin
