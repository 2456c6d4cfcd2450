#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

/**
 * Property tests over generated scripts of events, with a seed that never
 * changes, so that the verdict is the same each time. For tests only.
 */
namespace cicada
{

/** What a script is made of: each number picks one event and its parts. */
using script = std::vector<std::uint32_t>;

/** Takes parts off one number of a script. */
class script_reader
{
public:
    explicit script_reader(std::uint32_t number) : left(number) {}

    /** A number below `limit`, which is above zero. */
    int below(int limit)
    {
        auto const divisor = static_cast<std::uint32_t>(limit);
        auto const part = static_cast<int>(this->left % divisor);
        this->left /= divisor;
        return part;
    }

private:
    std::uint32_t left;
};

/**
 * Runs a property on generated scripts, the later ones longer.
 *
 * `holds` takes a script and answers what is wrong with it, or nothing. The
 * answer names the smallest script found that breaks it, or is empty.
 */
template <class Property>
std::string find_counterexample(Property const& holds,
                                int scripts,
                                int longest,
                                std::uint64_t seed = 20'261'204)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = scripts;
    params.maxSize = longest;
    auto const testable = [&holds]()
    {
        script const events = *rc::gen::container<script>(rc::gen::resize(
            rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
        std::string const wrong = holds(events);
        if (!wrong.empty())
        {
            RC_FAIL(wrong);
        }
    };
    rc::detail::TestResult const outcome =
        rc::detail::checkTestable(testable, rc::detail::TestMetadata(), params);
    if (outcome.is<rc::detail::SuccessResult>())
    {
        return {};
    }
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    return text.str();
}

} // namespace cicada
