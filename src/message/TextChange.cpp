#include "message/TextChange.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    /// Parts that stay are looked for in steps of this many bytes, so one that is shorter than two of them may be sent anew. A route
    /// has some 250 bytes.
    constexpr std::size_t blockBytes = 32;
    /// Multiplier of the rolling hash: the multiplier of a well-known linear congruential generator (Knuth, MMIX).
    constexpr std::uint64_t base = 6364136223846793005u;
    /// Bits of the filter in front of the index; most places of a new text are in no block, and this tells them apart in one look.
    constexpr std::size_t filterBits = 1u << 18;
    /// A piece takes about this much beside its new bytes.
    constexpr std::size_t pieceOverhead = 12;

    std::uint64_t checksumOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

    /// The polynomial hash of a window of `blockBytes`, which moves on by a byte at a time.
    class RollingHash {
    public:
        RollingHash()
        {
            for (std::size_t i = 1; i < blockBytes; ++i)
                m_leading *= base;
        }
        void start(std::string_view window)
        {
            m_value = 0;
            for (char c : window)
                m_value = m_value * base + static_cast<unsigned char>(c);
        }
        void roll(char out, char in)
        {
            m_value -= static_cast<unsigned char>(out) * m_leading;
            m_value = m_value * base + static_cast<unsigned char>(in);
        }
        [[nodiscard]] std::uint64_t value() const { return m_value; }

    private:
        std::uint64_t m_leading = 1;
        std::uint64_t m_value = 0;
    };

    /// Where the blocks of a text stand.
    class BlockIndex {
    public:
        explicit BlockIndex(std::string_view text)
            : m_text(text)
            , m_filter(filterBits)
        {
            RollingHash hash;
            m_places.reserve(text.size() / blockBytes);
            for (std::size_t at = 0; at + blockBytes <= text.size(); at += blockBytes) {
                hash.start(text.substr(at, blockBytes));
                m_places.emplace(hash.value(), at);
                m_filter[filterPlace(hash.value())] = true;
            }
        }
        /// Where a block equal to `window` stands, if there is one.
        [[nodiscard]] std::optional<std::size_t> find(std::uint64_t hash, std::string_view window) const
        {
            if (!m_filter[filterPlace(hash)])
                return std::nullopt;
            auto it = m_places.find(hash);
            if (it == m_places.end() || m_text.substr(it->second, blockBytes) != window)
                return std::nullopt;
            return it->second;
        }

    private:
        static std::size_t filterPlace(std::uint64_t hash) { return (hash >> 40) % filterBits; }

        std::string_view m_text;
        std::unordered_map<std::uint64_t, std::size_t> m_places;
        std::vector<bool> m_filter;
    };

    std::size_t commonLength(std::string_view a, std::string_view b)
    {
        auto n = std::min(a.size(), b.size());
        return static_cast<std::size_t>(std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(n), b.begin()).first - a.begin());
    }

    std::size_t commonEnd(std::string_view a, std::string_view b)
    {
        std::size_t n = 0;
        while (n < a.size() && n < b.size() && a[a.size() - 1 - n] == b[b.size() - 1 - n])
            ++n;
        return n;
    }

    /// Gathers pieces: each begins with a part that stays.
    class Pieces {
    public:
        void keep(std::size_t from, std::size_t length) { m_list.push_back({ from, length, {} }); }
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

    /// Where `former` goes on as `text` does at `at`, if what stayed last had gone on: blocks that recur are then taken from the
    /// neighbourhood, and a change within a line costs one piece.
    std::optional<std::size_t> onward(std::string_view former, std::string_view text, std::size_t at, std::ptrdiff_t shift)
    {
        auto from = static_cast<std::ptrdiff_t>(at) + shift;
        if (from < 0 || static_cast<std::size_t>(from) + blockBytes > former.size())
            return std::nullopt;
        auto place = static_cast<std::size_t>(from);
        return former.substr(place, blockBytes) == text.substr(at, blockBytes) ? std::optional(place) : std::nullopt;
    }

    /// Walks through `text`; what lies between two parts that stay is new.
    std::vector<TextPiece> compare(std::string_view former, std::string_view text)
    {
        Pieces pieces;
        BlockIndex index(former);
        RollingHash hash;
        std::size_t unsent = 0; // All before it is in pieces.
        std::size_t at = 0;
        std::ptrdiff_t shift = 0;
        bool isStarted = false;
        while (at + blockBytes <= text.size()) {
            if (!isStarted)
                hash.start(text.substr(at, blockBytes));
            isStarted = true;
            auto found = onward(former, text, at, shift);
            if (!found)
                found = index.find(hash.value(), text.substr(at, blockBytes));
            if (!found) {
                if (at + blockBytes < text.size())
                    hash.roll(text[at], text[at + blockBytes]);
                ++at;
                continue;
            }
            auto before = commonEnd(former.substr(0, *found), text.substr(unsent, at - unsent));
            pieces.add(text.substr(unsent, at - before - unsent));
            auto length = before + commonLength(former.substr(*found), text.substr(at));
            pieces.keep(*found - before, length);
            shift = static_cast<std::ptrdiff_t>(*found) - static_cast<std::ptrdiff_t>(at);
            at = unsent = at - before + length;
            isStarted = false;
        }
        pieces.add(text.substr(unsent));
        return pieces.take();
    }

} // namespace

std::size_t TextChange::size() const
{
    std::size_t n = 0;
    for (const auto& piece : pieces)
        n += pieceOverhead + piece.added.size();
    return n;
}

TextChange changeBetween(std::string_view former, std::string_view text) { return { compare(former, text), checksumOf(text) }; }

TextChange wholeText(std::string text)
{
    auto checksum = checksumOf(text);
    TextChange change { {}, checksum };
    change.pieces.push_back({ 0, 0, std::move(text) });
    return change;
}

std::optional<std::string> applyChange(std::string_view former, const TextChange& change)
{
    std::string text;
    for (const auto& piece : change.pieces) {
        if (piece.from > former.size() || piece.length > former.size() - piece.from)
            return std::nullopt;
        text += former.substr(piece.from, piece.length);
        text += piece.added;
    }
    if (checksumOf(text) != change.checksum)
        return std::nullopt;
    return text;
}

} // namespace wrenhinge
