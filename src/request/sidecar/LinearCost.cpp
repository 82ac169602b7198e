#include "request/sidecar/LinearCost.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    constexpr double decay = 0.97; // Half the weight is on the last 23 observations.

} // namespace

LinearCost::LinearCost(Duration fixed, double microsPerUnit, double typicalUnits)
{
    auto base = static_cast<double>(fixed.count());
    add(0, base);
    add(typicalUnits, base + microsPerUnit * typicalUnits);
    solve();
}

void LinearCost::observe(double units, Duration took)
{
    auto micros = static_cast<double>(took.count());
    auto error = std::abs(micros - static_cast<double>(estimate(units).count()));
    m_error += (1 - decay) * (error - m_error);
    add(units, micros);
    solve();
}

Duration LinearCost::estimate(double units) const { return Duration(static_cast<std::int64_t>(m_fixed + m_perUnit * units)); }

void LinearCost::add(double units, double micros)
{
    m_weight = decay * m_weight + 1;
    m_x = decay * m_x + units;
    m_y = decay * m_y + micros;
    m_xx = decay * m_xx + units * units;
    m_xy = decay * m_xy + units * micros;
}

void LinearCost::solve()
{
    double determinant = m_weight * m_xx - m_x * m_x;
    m_perUnit = determinant > 1e-9 * std::max(1.0, m_weight * m_xx) ? (m_weight * m_xy - m_x * m_y) / determinant : 0;
    m_fixed = (m_y - m_perUnit * m_x) / m_weight;
    if (m_perUnit < 0) {
        m_perUnit = 0;
        m_fixed = m_y / m_weight;
    } else if (m_fixed < 0) {
        // A line below zero at small sizes would promise prefills for nothing: go through the origin instead.
        m_fixed = 0;
        m_perUnit = m_xx > 0 ? std::max(0.0, m_xy / m_xx) : 0;
    }
}

} // namespace wrenhinge
