/** \file
 * Changes bytes the way a damaged disk, another release or a careless writer would: flipped bits, cuts, pieces of other samples,
 * numbers at the ends of their ranges, doubled and nested structure. The same seed gives the same changes.
 */
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wrenhinge::test {

class Mutator {
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// One to some changes of `sample`. \param others where pieces come from; not empty.
    std::string mutate(std::string sample, const std::vector<std::string>& others);
    std::size_t below(std::size_t n) { return n ? m_random() % n : 0; }

private:
    void mutateOnce(std::string& bytes, const std::vector<std::string>& others);
    void changeNumber(std::string& bytes);
    void changeStructure(std::string& bytes);
    std::size_t place(const std::string& bytes) { return below(bytes.size() + 1); }

    std::mt19937_64 m_random;
};

} // namespace wrenhinge::test
