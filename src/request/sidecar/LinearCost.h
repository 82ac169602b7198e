/** \file
 * Linear model of the time that a piece of work takes, `fixed + perUnit * units`, fitted by least squares.
 *
 * The durations of a prefill of 40 tokens and one of 20,000 differ by a factor of hundreds, so a single mean predicts
 * neither. Older observations decay exponentially, so that a replica's slowdown shows after some tens of requests.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge {

class LinearCost {
public:
    /// Starts from an initial estimate, which counts as two observations.
    LinearCost(Duration fixed, double microsPerUnit, double typicalUnits);

    void observe(double units, Duration took);
    [[nodiscard]] Duration estimate(double units) const;
    [[nodiscard]] Duration fixed() const { return Duration(static_cast<std::int64_t>(m_fixed)); }
    [[nodiscard]] double microsPerUnit() const { return m_perUnit; }
    /// Mean absolute error of the recent estimates.
    [[nodiscard]] Duration meanError() const { return Duration(static_cast<std::int64_t>(m_error)); }

private:
    void add(double units, double micros);
    void solve();

    double m_weight = 0, m_x = 0, m_y = 0, m_xx = 0, m_xy = 0;
    double m_fixed = 0;
    double m_perUnit = 0;
    double m_error = 0;
};

} // namespace wrenhinge
