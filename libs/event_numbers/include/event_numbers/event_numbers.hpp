#pragma once

/**
 * Numbers of the log events, in the order of the catalogue in events_log.
 * They stay in stored logs: a number is never changed or reused.
 */
namespace cicada::events
{

constexpr int unlisted_event = 1; //!< logged for a number without an entry

constexpr int process_started = 100;
constexpr int process_ready = 101;
constexpr int settings_rejected = 102;
constexpr int listen_failed = 103;

constexpr int shutdown_started = 110;
constexpr int shutdown_completed = 111;
constexpr int shutdown_incomplete = 112;
constexpr int settings_reloaded = 113;
constexpr int configuration_applied = 114;
constexpr int configuration_rejected = 115;

constexpr int log_lines_dropped = 120;
constexpr int connections_closed = 121;

constexpr int placement_started = 130;
constexpr int placement_stopped = 131;
constexpr int store_lease_granted = 132;
constexpr int store_lease_ended = 133;
constexpr int placer_claim_lost = 134;

constexpr int peer_up = 200;
constexpr int peer_down = 201;
constexpr int peer_rejected = 202;

constexpr int table_proposed = 210;
constexpr int shards_gained = 211;
constexpr int shards_lost = 212;
constexpr int shard_ready = 213;
constexpr int own_lease_lost = 214;

constexpr int members_changed = 220;

constexpr int note_applied = 300;
constexpr int note_rejected = 301;
constexpr int note_published = 302;
constexpr int operator_rejected = 303;

constexpr int request_outcome_unknown = 400;
constexpr int attempt_unresponsive = 401;

constexpr int agent_out_of_rotation = 410;
constexpr int agent_back_in_rotation = 411;
constexpr int stale_epoch_rejected = 412;

constexpr int store_unavailable = 500;
constexpr int store_available = 501;
constexpr int intent_write_unknown = 502;
constexpr int store_budget_exhausted = 503;
constexpr int store_watch_failed = 504;

constexpr int job_accepted = 600;
constexpr int job_finished = 601;
constexpr int job_lost = 602;
constexpr int task_preempted = 603;
constexpr int job_unschedulable = 604;
constexpr int task_started = 605;
constexpr int job_rejected = 606;
constexpr int job_submitted = 607;
constexpr int cancel_submitted = 608;
constexpr int job_outcome_unknown = 609;
constexpr int task_failed = 610;
constexpr int run_lost = 611;
constexpr int worker_state_changed = 612;
constexpr int start_rejected = 613;
constexpr int advice_failed = 614;
constexpr int worker_entry_rejected = 615;
constexpr int cell_load = 616;
constexpr int run_ended = 617;
constexpr int progress_saved = 618;
constexpr int ends_acknowledged = 619;
constexpr int roster_changed = 620;
constexpr int records_read = 621;
constexpr int leadership_changed = 622;
constexpr int queue_changed = 623;

constexpr int malformed_link_message = 700;
constexpr int malformed_answer = 701;

} // namespace cicada::events
