#include "Mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace wrenhinge::test {

namespace {

    constexpr std::size_t mostChanges = 6;
    constexpr std::size_t longestInput = 64 * 1024;

    constexpr std::array<std::string_view, 24> values { "0", "-1", "1", "-0.5", "1.5", "1e300", "-1e300", "1e999", "4294967296",
        "2147483648", "9007199254740993", "9223372036854775808", "18446744073709551615", "18446744073709551616", "null", "true", "\"\"",
        "[]", "{}", "\"\\u0000\"", "\"\\r\\nA: b\"", "\"\xff\"", "NaN", "[[[[[[[[[[1]]]]]]]]]]" };

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

} // namespace

std::string Mutator::mutate(std::string sample, const std::vector<std::string>& others)
{
    // Half of them keep everything else as it was, so that the checks behind the first one are reached.
    for (auto n = below(2) ? 1 : 1 + below(mostChanges); n; --n)
        mutateOnce(sample, others);
    sample.resize(std::min(sample.size(), longestInput));
    return sample;
}

void Mutator::mutateOnce(std::string& bytes, const std::vector<std::string>& others)
{
    auto at = place(bytes);
    switch (below(8)) {
    case 0:
        if (!bytes.empty())
            bytes[at % bytes.size()] ^= static_cast<char>(1u << below(8));
        break;
    case 1:
        bytes.resize(at);
        break;
    case 2:
        bytes.erase(at, 1 + below(16));
        break;
    case 3:
        bytes.insert(at, 1 + below(8), static_cast<char>(below(256)));
        break;
    case 4: {
        const auto& other = others[below(others.size())];
        auto from = below(other.size() + 1);
        bytes.replace(at, below(32), other.substr(from, below(200)));
        break;
    }
    case 5:
        changeNumber(bytes);
        break;
    case 6:
        changeStructure(bytes);
        break;
    default:
        if (!bytes.empty())
            bytes[at % bytes.size()] = static_cast<char>(below(2) ? 0xff - below(64) : below(256));
        break;
    }
}

/// Replaces a number in a text, or what comes after a colon, by a value at the end of a range or of another type.
void Mutator::changeNumber(std::string& bytes)
{
    auto from = bytes.find(':', place(bytes));
    if (from == std::string::npos)
        return;
    ++from;
    auto to = from;
    while (to < bytes.size() && (isDigit(bytes[to]) || bytes[to] == '.' || bytes[to] == '-'))
        ++to;
    if (to == from)
        to = std::min(bytes.find_first_of(",}", from), bytes.size());
    bytes.replace(from, to - from, values[below(values.size())]);
}

/// Doubles a piece, or wraps one into many brackets.
void Mutator::changeStructure(std::string& bytes)
{
    auto at = place(bytes);
    auto piece = bytes.substr(at, 1 + below(64));
    if (below(2)) {
        for (auto n = 1 + below(4); n; --n)
            bytes.insert(at, piece);
        return;
    }
    auto depth = 1 + below(200);
    constexpr std::array<char, 4> openers { '[', '{', '\x91', '\x92' };
    bytes.insert(at, depth, openers[below(openers.size())]);
}

} // namespace wrenhinge::test
