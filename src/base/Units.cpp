#include "base/Units.h"

#include <array>
#include <charconv>
#include <cmath>

namespace wrenhinge {

namespace {

    struct Unit {
        std::string_view name;
        double factor;
    };

    constexpr std::array durationUnits { Unit { "us", 1 }, Unit { "ms", 1e3 }, Unit { "s", 1e6 }, Unit { "m", 60e6 },
        Unit { "h", 3600e6 } };
    constexpr std::array byteUnits { Unit { "B", 1 }, Unit { "KB", 1e3 }, Unit { "MB", 1e6 }, Unit { "GB", 1e9 } };
    constexpr std::array rateUnits { Unit { "/s", 1 }, Unit { "/m", 1.0 / 60 } };
    constexpr double largestQuantity = 9e15; // Integers up to 9e15 are exact in a double.

    Error badQuantity(std::string_view text, std::string_view wanted)
    {
        return Error { ResultCode::BadSettings, "'" + std::string(text) + "' is not " + std::string(wanted) };
    }

    template <std::size_t N> Result<double> parseWithUnit(std::string_view text, const std::array<Unit, N>& units, std::string_view wanted)
    {
        double value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || !std::isfinite(value) || value < 0)
            return badQuantity(text, wanted);
        std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
        for (const auto& u : units) {
            if (u.name == unit && value * u.factor < largestQuantity)
                return value * u.factor;
        }
        return badQuantity(text, wanted);
    }

} // namespace

Result<Duration> parseDuration(std::string_view text)
{
    auto value = parseWithUnit(text, durationUnits, "a duration: write a number with us, ms, s, m or h, such as 570ms");
    if (!value)
        return value.error();
    return Duration(std::llround(value.value()));
}

Result<std::uint64_t> parseBytes(std::string_view text)
{
    auto value = parseWithUnit(text, byteUnits, "a size: write a number with B, KB, MB or GB, such as 256MB");
    if (!value)
        return value.error();
    return static_cast<std::uint64_t>(value.value());
}

Result<std::uint64_t> parseByteRate(std::string_view text)
{
    constexpr std::string_view wanted = "a rate of bytes: write a size and /s, such as 20MB/s";
    if (!text.ends_with("/s"))
        return badQuantity(text, wanted);
    auto value = parseWithUnit(text.substr(0, text.size() - 2), byteUnits, wanted);
    if (!value)
        return badQuantity(text, wanted);
    return static_cast<std::uint64_t>(value.value());
}

Result<double> parseRate(std::string_view text)
{
    return parseWithUnit(text, rateUnits, "a rate: write a number with /s or /m, such as 100/s");
}

Result<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return badQuantity(text, "a whole number");
    return value;
}

Result<bool> parseYesNo(std::string_view text)
{
    if (text == "yes" || text == "true")
        return true;
    if (text == "no" || text == "false")
        return false;
    return badQuantity(text, "yes or no");
}

std::string formatDuration(Duration d)
{
    auto n = d.count();
    if (n % 1000000 == 0)
        return std::to_string(n / 1000000) + "s";
    if (n % 1000 == 0)
        return std::to_string(n / 1000) + "ms";
    return std::to_string(n) + "us";
}

} // namespace wrenhinge
