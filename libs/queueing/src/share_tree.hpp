#pragma once

#include <cstdint>
#include <map>

/**
 * Hierarchical start-time fair queueing: the backlogged children of a node
 * share its service in proportion to their weights.
 */
namespace cicada
{

struct request_flow;

/** Order of backlogged siblings: lowest start tag first. */
struct share_rank
{
    double start_tag = 0;
    std::uint64_t sequence = 0; //!< makes the order of ties deterministic

    auto operator<=>(share_rank const&) const = default;
};

/** A node of the tree. Its children point to it, so it must not move. */
struct share_node
{
    share_node* parent = nullptr; //!< null for the root
    std::uint64_t sequence = 0;   //!< unique in the tree
    double weight = 1;            //!< above zero
    double start_tag = 0;         //!< in the parent's virtual time
    double virtual_time = 0;      //!< of the children
    std::map<share_rank, share_node*> backlogged_children;
    bool backlogged = false;
    request_flow* flow = nullptr; //!< set for a leaf only
};

/** Marks a node and its ancestors as backlogged. */
void activate(share_node& node);

/** Marks a node, and each ancestor left without work, as idle. */
void deactivate(share_node& node);

/** The backlogged leaf to serve next; null if there is none. */
share_node* next_leaf(share_node& root);

/**
 * Charges `cost` to a leaf and its ancestors, also if the leaf was served out
 * of turn. The leaf must be backlogged: call before deactivate().
 */
void charge(share_node& leaf, double cost);

} // namespace cicada
