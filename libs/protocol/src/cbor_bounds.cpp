#include "cbor_bounds.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace cicada
{

namespace
{

/** The head of one item, RFC 8949 section 3. */
struct item_head
{
    int major = 0;
    std::uint64_t argument = 0;
};

constexpr int major_bytes = 2;
constexpr int major_text = 3;
constexpr int major_array = 4;
constexpr int major_map = 5;
constexpr int major_tag = 6;

/** Reads heads one after another. */
class head_scanner
{
public:
    explicit head_scanner(std::string const& bytes) : bytes(bytes) {}

    std::size_t left() const
    {
        return this->bytes.size() - this->at;
    }

    void skip(std::size_t count)
    {
        this->at += count;
    }

    /** The next head; none at the end or if its length is indefinite. */
    std::optional<item_head> next()
    {
        constexpr unsigned first_with_bytes = 24;
        constexpr unsigned last_with_bytes = 27;
        if (this->left() == 0)
        {
            return std::nullopt;
        }
        unsigned const initial = this->byte();
        item_head head{static_cast<int>(initial >> 5), initial & 0x1fU};
        if (head.argument < first_with_bytes)
        {
            return head;
        }
        if (head.argument > last_with_bytes)
        {
            return std::nullopt;
        }
        std::size_t const width = std::size_t{1}
                                  << (head.argument - first_with_bytes);
        if (this->left() < width)
        {
            return std::nullopt;
        }
        head.argument = 0;
        for (std::size_t count = 0; count < width; ++count)
        {
            head.argument = head.argument << 8 | this->byte();
        }
        return head;
    }

private:
    unsigned byte()
    {
        return static_cast<unsigned char>(this->bytes[this->at++]);
    }

    std::string const& bytes;
    std::size_t at = 0;
};

/** How many items follow directly inside; none if they can't fit. */
std::optional<std::uint64_t> children_of(item_head const& head,
                                         head_scanner& scanner)
{
    if (head.major < major_bytes || head.major > major_map)
    {
        return head.major == major_tag ? std::nullopt
                                       : std::optional<std::uint64_t>(0);
    }
    if (head.argument > scanner.left())
    {
        return std::nullopt;
    }
    if (head.major == major_bytes || head.major == major_text)
    {
        scanner.skip(head.argument);
        return 0;
    }
    return head.major == major_array ? head.argument : 2 * head.argument;
}

} // namespace

bool cbor_is_bounded(std::string const& bytes, int max_nesting)
{
    head_scanner scanner(bytes);
    std::vector<std::uint64_t> open{1};
    while (!open.empty())
    {
        if (open.back() == 0)
        {
            open.pop_back();
            continue;
        }
        --open.back();
        std::optional<item_head> const head = scanner.next();
        if (!head.has_value())
        {
            return false;
        }
        std::optional<std::uint64_t> const children =
            children_of(*head, scanner);
        if (!children.has_value())
        {
            return false;
        }
        open.push_back(*children);
        if (open.size() > static_cast<std::size_t>(max_nesting) + 2)
        {
            return false;
        }
    }
    return true;
}

} // namespace cicada
