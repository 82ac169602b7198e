/** \file
 * Adaptors for types that msgpack doesn't support: durations, enumerations (as their numbers) and std::variant (as `[index, value]`).
 *
 * The index is the position among the alternatives, so new alternatives are added at the end. A value is rejected as a whole if it
 * contains an enumeration number that isn't defined or a duration out of range: when numbers were cast without a check, a code of a
 * later release crashed the process where its name was looked up.
 */
#pragma once

#include "base/Time.h"

#include <msgpack.hpp>
#include <type_traits>
#include <variant>

namespace wrenhinge {

/// Specialised for each enumeration in messages. `isKnown(n)` returns whether it has an enumerator with this number.
template <typename E> struct WireEnum;

/// For an enumeration whose numbers are 0 to that of `last`.
template <auto last> struct WireEnumUpTo {
    static bool isKnown(std::int64_t n) { return n >= 0 && n <= static_cast<std::int64_t>(last); }
};

/// The longest duration that is accepted: longer ones can't be real measurements. The range of `Instant` is some hundred times as large,
/// so that sums of several still fit.
inline constexpr Duration maxWireDuration = std::chrono::hours(24 * 365 * 100);

} // namespace wrenhinge

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <> struct convert<wrenhinge::Duration> {
            const msgpack::object& operator()(const msgpack::object& o, wrenhinge::Duration& d) const
            {
                d = wrenhinge::Duration(o.as<std::int64_t>());
                if (d > wrenhinge::maxWireDuration || d < -wrenhinge::maxWireDuration)
                    throw type_error();
                return o;
            }
        };
        template <> struct pack<wrenhinge::Duration> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& p, const wrenhinge::Duration& d) const
            {
                return p.pack(static_cast<std::int64_t>(d.count()));
            }
        };

        template <typename E> struct convert<E, std::enable_if_t<std::is_enum_v<E>>> {
            const msgpack::object& operator()(const msgpack::object& o, E& value) const
            {
                auto n = o.as<std::int64_t>();
                if (!wrenhinge::WireEnum<E>::isKnown(n))
                    throw type_error();
                value = static_cast<E>(n);
                return o;
            }
        };
        template <typename E> struct pack<E, std::enable_if_t<std::is_enum_v<E>>> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& p, const E& value) const
            {
                return p.pack(static_cast<std::int64_t>(value));
            }
        };

        /// Packs a std::variant as `[index, value]`.
        template <typename... Ts> struct pack<std::variant<Ts...>> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& p, const std::variant<Ts...>& v) const
            {
                p.pack_array(2);
                p.pack(static_cast<std::uint32_t>(v.index()));
                std::visit([&p](const auto& x) { p.pack(x); }, v);
                return p;
            }
        };

        /// Unpacks `[index, value]`. An unknown index throws type_error, which makes `decode` return nothing.
        template <typename... Ts> struct convert<std::variant<Ts...>> {
            const msgpack::object& operator()(const msgpack::object& o, std::variant<Ts...>& v) const
            {
                if (o.type != type::ARRAY || o.via.array.size != 2)
                    throw type_error();
                auto index = o.via.array.ptr[0].as<std::uint32_t>();
                if (!unpackAt(index, o.via.array.ptr[1], v, std::index_sequence_for<Ts...>()))
                    throw type_error();
                return o;
            }

        private:
            template <std::size_t... Is>
            static bool unpackAt(std::uint32_t index, const msgpack::object& o, std::variant<Ts...>& v, std::index_sequence<Is...>)
            {
                return ((Is == index ? (v.template emplace<Is>(o.as<std::variant_alternative_t<Is, std::variant<Ts...>>>()), true) : false)
                    || ...);
            }
        };
    }
}
}
