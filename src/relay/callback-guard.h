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
        return [token = std::weak_ptr(token_), callback = std::move(callback)](auto&&... arguments) {
            if (!token.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<bool> token_ = std::make_shared<bool>();
};

} // namespace jackdawwall::relay
