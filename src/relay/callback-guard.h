/// Callbacks that outlive the object they refer to. Destroying a timer or an acceptor does not take back a
/// handler that is already queued: it is called without an error.
#pragma once

#include <memory>
#include <utility>

namespace jackdawwall::relay {

class CallbackGuard {
public:
    /// Returns a callback that does nothing once this guard is destroyed.
    template <typename Callback> auto wrap(Callback callback) const
    {
        return [lifetime = lifetime(), callback = std::move(callback)](auto&&... arguments) {
            if (!lifetime.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// Expires with this guard. For callbacks that have to return something afterwards as well.
    std::weak_ptr<const void> lifetime() const { return token_; }

private:
    std::shared_ptr<const bool> token_ = std::make_shared<const bool>();
};

} // namespace jackdawwall::relay
