#include "message/TextChange.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    /// Unchanged parts are found by blocks of this many bytes of the old text, so a part shorter than two blocks may be missed and
    /// inserted again. A route has some 250 bytes.
    constexpr std::size_t blockBytes = 32;
    /// Multiplier of the rolling hash: the multiplier of a well-known linear congruential generator (Knuth, MMIX).
    constexpr std::uint64_t hashMultiplier = 6364136223846793005u;
    /// Bits of the filter in front of the index. Most positions of a new text match no block; the filter rules them out cheaply.
    constexpr std::size_t filterBits = 1u << 18;
    /// Approximate size of a piece beside its inserted bytes.
    constexpr std::size_t pieceOverhead = 12;

    std::uint64_t checksumOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

    /// The polynomial rolling hash of a window of `blockBytes`.
    class RollingHash {
    public:
        RollingHash()
        {
            for (std::size_t i = 1; i < blockBytes; ++i)
                m_leadingFactor *= hashMultiplier;
        }
        void start(std::string_view window)
        {
            m_value = 0;
            for (char c : window)
                m_value = m_value * hashMultiplier + static_cast<unsigned char>(c);
        }
        void roll(char out, char in)
        {
            m_value -= static_cast<unsigned char>(out) * m_leadingFactor;
            m_value = m_value * hashMultiplier + static_cast<unsigned char>(in);
        }
        [[nodiscard]] std::uint64_t value() const { return m_value; }

    private:
        std::uint64_t m_leadingFactor = 1;
        std::uint64_t m_value = 0;
    };

    /// Finds the blocks of a text by their hash.
    class BlockIndex {
    public:
        explicit BlockIndex(std::string_view text)
            : m_text(text)
            , m_filter(filterBits)
        {
            RollingHash hash;
            m_offsets.reserve(text.size() / blockBytes);
            for (std::size_t at = 0; at + blockBytes <= text.size(); at += blockBytes) {
                hash.start(text.substr(at, blockBytes));
                m_offsets.emplace(hash.value(), at);
                m_filter[filterIndex(hash.value())] = true;
            }
        }
        /// The offset of a block equal to `window`, if there is one.
        [[nodiscard]] std::optional<std::size_t> find(std::uint64_t hash, std::string_view window) const
        {
            if (!m_filter[filterIndex(hash)])
                return std::nullopt;
            auto it = m_offsets.find(hash);
            if (it == m_offsets.end() || m_text.substr(it->second, blockBytes) != window)
                return std::nullopt;
            return it->second;
        }

    private:
        static std::size_t filterIndex(std::uint64_t hash) { return (hash >> 40) % filterBits; }

        std::string_view m_text;
        std::unordered_map<std::uint64_t, std::size_t> m_offsets;
        std::vector<bool> m_filter;
    };

    std::size_t commonPrefixLength(std::string_view a, std::string_view b)
    {
        auto n = std::min(a.size(), b.size());
        return static_cast<std::size_t>(std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(n), b.begin()).first - a.begin());
    }

    std::size_t commonSuffixLength(std::string_view a, std::string_view b)
    {
        std::size_t n = 0;
        while (n < a.size() && n < b.size() && a[a.size() - 1 - n] == b[b.size() - 1 - n])
            ++n;
        return n;
    }

    /// Collects the pieces of a delta. Each piece begins with a copied range.
    class DeltaBuilder {
    public:
        void copy(std::size_t from, std::size_t length) { m_list.push_back({ from, length, {} }); }
        void add(std::string_view bytes)
        {
            if (bytes.empty())
                return;
            if (m_list.empty())
                m_list.emplace_back();
            m_list.back().added += bytes;
        }
        std::vector<TextPiece> take() { return std::move(m_list); }

    private:
        std::vector<TextPiece> m_list;
    };

    /// Whether `newText` at `at` matches `oldText` at the same shift as the last copied range. Tried before the index: it picks the nearby
    /// one of several equal blocks, and a change within a line then costs only one piece. \returns the offset in `oldText`.
    std::optional<std::size_t> matchAtShift(std::string_view oldText, std::string_view newText, std::size_t at, std::ptrdiff_t shift)
    {
        auto from = static_cast<std::ptrdiff_t>(at) + shift;
        if (from < 0 || static_cast<std::size_t>(from) + blockBytes > oldText.size())
            return std::nullopt;
        auto offset = static_cast<std::size_t>(from);
        return oldText.substr(offset, blockBytes) == newText.substr(at, blockBytes) ? std::optional(offset) : std::nullopt;
    }

    /// Scans `newText` for blocks of `oldText`; what lies between two matches is inserted.
    std::vector<TextPiece> compare(std::string_view oldText, std::string_view newText)
    {
        DeltaBuilder delta;
        BlockIndex index(oldText);
        RollingHash hash;
        std::size_t encodedUpTo = 0; // Everything before this offset is in the delta.
        std::size_t at = 0;
        std::ptrdiff_t shift = 0;
        bool isHashValid = false;
        while (at + blockBytes <= newText.size()) {
            if (!isHashValid)
                hash.start(newText.substr(at, blockBytes));
            isHashValid = true;
            auto found = matchAtShift(oldText, newText, at, shift);
            if (!found)
                found = index.find(hash.value(), newText.substr(at, blockBytes));
            if (!found) {
                if (at + blockBytes < newText.size())
                    hash.roll(newText[at], newText[at + blockBytes]);
                ++at;
                continue;
            }
            auto before = commonSuffixLength(oldText.substr(0, *found), newText.substr(encodedUpTo, at - encodedUpTo));
            delta.add(newText.substr(encodedUpTo, at - before - encodedUpTo));
            auto length = before + commonPrefixLength(oldText.substr(*found), newText.substr(at));
            delta.copy(*found - before, length);
            shift = static_cast<std::ptrdiff_t>(*found) - static_cast<std::ptrdiff_t>(at);
            at = encodedUpTo = at - before + length;
            isHashValid = false;
        }
        delta.add(newText.substr(encodedUpTo));
        return delta.take();
    }

} // namespace

std::size_t TextChange::size() const
{
    std::size_t n = 0;
    for (const auto& piece : pieces)
        n += pieceOverhead + piece.added.size();
    return n;
}

TextChange changeBetween(std::string_view oldText, std::string_view newText) { return { compare(oldText, newText), checksumOf(newText) }; }

TextChange wholeText(std::string text)
{
    auto checksum = checksumOf(text);
    TextChange change { {}, checksum };
    change.pieces.push_back({ 0, 0, std::move(text) });
    return change;
}

std::optional<std::string> applyChange(std::string_view oldText, const TextChange& change)
{
    std::string text;
    for (const auto& piece : change.pieces) {
        if (piece.from > oldText.size() || piece.length > oldText.size() - piece.from)
            return std::nullopt;
        text += oldText.substr(piece.from, piece.length);
        text += piece.added;
    }
    if (checksumOf(text) != change.checksum)
        return std::nullopt;
    return text;
}

} // namespace wrenhinge
