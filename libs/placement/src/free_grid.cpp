#include "free_grid.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

int bucket_of(std::int64_t amount, std::int64_t width)
{
    std::int64_t const last = grid_side - 1;
    return static_cast<int>(std::clamp<std::int64_t>(amount / width, 0, last));
}

std::size_t cell_index(int row, int column)
{
    return static_cast<std::size_t>(row) * grid_side +
           static_cast<std::size_t>(column);
}

cell_rank rank_of(resources const& unused, std::uint64_t worker_number)
{
    return cell_rank{unused.milli_cores, unused.memory_mib, worker_number};
}

} // namespace

int row_of(std::int64_t milli_cores)
{
    return bucket_of(milli_cores, row_milli_cores);
}

int column_of(std::int64_t memory_mib)
{
    return bucket_of(memory_mib, column_memory_mib);
}

std::uint64_t bits_from(std::uint64_t bits, int lowest)
{
    return bits & (~std::uint64_t{0} << lowest);
}

void insert(free_grid& grid,
            resources const& unused,
            std::uint64_t worker_number,
            worker_record* worker)
{
    int const row = row_of(unused.milli_cores);
    int const column = column_of(unused.memory_mib);
    grid.cells[cell_index(row, column)].emplace(rank_of(unused, worker_number),
                                                worker);
    grid.columns[static_cast<std::size_t>(row)] |= std::uint64_t{1} << column;
    grid.rows |= std::uint64_t{1} << row;
}

void erase(free_grid& grid,
           resources const& unused,
           std::uint64_t worker_number)
{
    int const row = row_of(unused.milli_cores);
    int const column = column_of(unused.memory_mib);
    grid_cell& cell = grid.cells[cell_index(row, column)];
    cell.erase(rank_of(unused, worker_number));
    if (!cell.empty())
    {
        return;
    }
    std::uint64_t& columns = grid.columns[static_cast<std::size_t>(row)];
    columns &= ~(std::uint64_t{1} << column);
    if (columns == 0)
    {
        grid.rows &= ~(std::uint64_t{1} << row);
    }
}

} // namespace cicada
