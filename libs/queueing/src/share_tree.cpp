#include "share_tree.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

share_rank rank_of(share_node const& node)
{
    return share_rank{node.start_tag, node.sequence};
}

} // namespace

void activate(share_node& node)
{
    if (node.backlogged)
    {
        return;
    }
    node.backlogged = true;
    if (node.parent == nullptr)
    {
        return;
    }
    node.start_tag = std::max(node.start_tag, node.parent->virtual_time);
    node.parent->backlogged_children.emplace(rank_of(node), &node);
    activate(*node.parent);
}

void deactivate(share_node& node)
{
    if (!node.backlogged)
    {
        return;
    }
    node.backlogged = false;
    if (node.parent == nullptr)
    {
        return;
    }
    node.parent->backlogged_children.erase(rank_of(node));
    if (node.parent->backlogged_children.empty())
    {
        deactivate(*node.parent);
    }
}

share_node* next_leaf(share_node& root)
{
    share_node* node = &root;
    while (!node->backlogged_children.empty())
    {
        node = node->backlogged_children.begin()->second;
    }
    return node == &root ? nullptr : node;
}

void charge(share_node& leaf, double cost)
{
    for (share_node* node = &leaf; node->parent != nullptr; node = node->parent)
    {
        share_node& parent = *node->parent;
        parent.backlogged_children.erase(rank_of(*node));
        parent.virtual_time = std::max(parent.virtual_time, node->start_tag);
        node->start_tag += cost / node->weight;
        parent.backlogged_children.emplace(rank_of(*node), node);
    }
}

} // namespace cicada
