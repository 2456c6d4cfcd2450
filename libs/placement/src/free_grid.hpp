#pragma once

#include "placement/placement.hpp"

#include <array>
#include <bit>

/**
 * An index of workers by their free resources: rows by processors, columns by
 * memory. A search skips the rows and columns whose workers are too full.
 */
namespace cicada
{

/** Number of rows and of columns: one bit each in a 64-bit mask. */
constexpr int grid_side = 64;

constexpr std::size_t grid_cells = std::size_t{grid_side} * grid_side;

/** Free processors covered by a row; the last row has no upper bound. */
constexpr std::int64_t row_milli_cores = 1'000;

/** Free memory covered by a column; the last one has no upper bound. */
constexpr std::int64_t column_memory_mib = 4'096;

struct worker_record;

/** Sorts the workers of a cell by free resources, fullest first. */
struct cell_rank
{
    std::int64_t milli_cores = 0;    //!< free
    std::int64_t memory_mib = 0;     //!< free
    std::uint64_t worker_number = 0; //!< breaks ties

    bool operator==(cell_rank const&) const = default;
    std::strong_ordering operator<=>(cell_rank const&) const = default;
};

using grid_cell = std::map<cell_rank, worker_record*>;

struct free_grid
{
    std::array<std::uint64_t, grid_side> columns{}; //!< bit: cell in use
    std::uint64_t rows = 0;                         //!< bit: row in use
    std::vector<grid_cell> cells = std::vector<grid_cell>(grid_cells);
};

/** Adds a worker with `unused` resources free. */
void insert(free_grid& grid,
            resources const& unused,
            std::uint64_t worker_number,
            worker_record* worker);

/** Removes a worker; `unused` is as passed to insert(). */
void erase(free_grid& grid,
           resources const& unused,
           std::uint64_t worker_number);

/** The row and the column for these free resources. */
int row_of(std::int64_t milli_cores);
int column_of(std::int64_t memory_mib);

/** `bits` without those below `lowest`. */
std::uint64_t bits_from(std::uint64_t bits, int lowest);

/**
 * Visits the workers that may fit `size`, fullest first, until `visit(worker)`
 * returns true. Returns that worker, or null.
 */
template <class Visit>
worker_record*
first_fullest(free_grid const& grid, resources const& size, Visit const& visit);

/** Like first_fullest(), but emptiest first. */
template <class Visit>
worker_record* first_emptiest(free_grid const& grid,
                              resources const& size,
                              Visit const& visit);

// ---- inline --------------------------------------------------------------

template <class Visit>
worker_record*
first_fullest(free_grid const& grid, resources const& size, Visit const& visit)
{
    int const column = column_of(size.memory_mib);
    std::uint64_t rows = bits_from(grid.rows, row_of(size.milli_cores));
    for (; rows != 0; rows &= rows - 1)
    {
        auto const row = static_cast<std::size_t>(std::countr_zero(rows));
        std::uint64_t columns = bits_from(grid.columns[row], column);
        for (; columns != 0; columns &= columns - 1)
        {
            auto const column_index =
                static_cast<std::size_t>(std::countr_zero(columns));
            grid_cell const& cell = grid.cells[row * grid_side + column_index];
            auto entry = cell.lower_bound(cell_rank{size.milli_cores, 0, 0});
            for (; entry != cell.end(); ++entry)
            {
                if (visit(*entry->second))
                {
                    return entry->second;
                }
            }
        }
    }
    return nullptr;
}

template <class Visit>
worker_record*
first_emptiest(free_grid const& grid, resources const& size, Visit const& visit)
{
    int const column = column_of(size.memory_mib);
    std::uint64_t rows = bits_from(grid.rows, row_of(size.milli_cores));
    while (rows != 0)
    {
        auto const row =
            static_cast<std::size_t>(grid_side - 1 - std::countl_zero(rows));
        rows &= ~(std::uint64_t{1} << row);
        std::uint64_t columns = bits_from(grid.columns[row], column);
        while (columns != 0)
        {
            auto const column_index = static_cast<std::size_t>(
                grid_side - 1 - std::countl_zero(columns));
            columns &= ~(std::uint64_t{1} << column_index);
            grid_cell const& cell = grid.cells[row * grid_side + column_index];
            for (auto entry = cell.rbegin(); entry != cell.rend(); ++entry)
            {
                if (visit(*entry->second))
                {
                    return entry->second;
                }
            }
        }
    }
    return nullptr;
}

} // namespace cicada
