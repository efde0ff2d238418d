#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace gentiancross {

/**
 * An immutable value that its copies share, or none. Used for values that are too large to be
 * copied on the control thread or to be encoded for each receiver. Thread safety: copies may be
 * used by different threads.
 */
template <typename T>
class SharedValue
{
public:
    using ValueType = T;

    SharedValue() = default;
    SharedValue(T value)
        : m_held(std::make_shared<const Held>(std::move(value)))
    {}

    // NOLINTNEXTLINE(readability-identifier-naming): named as in std::optional
    [[nodiscard]] bool has_value() const { return m_held != nullptr; }
    /** Precondition of both: has_value(). */
    const T &operator*() const { return m_held->value; }
    const T *operator->() const { return &m_held->value; }

    /** True if both share one value or both have none. */
    [[nodiscard]] bool isSame(const SharedValue &other) const { return m_held == other.m_held; }

    /** Returns the text that \a encode makes of the value. All copies share the text, which is made
     * once, until forgetText. Precondition: has_value(). */
    template <typename Encode>
    [[nodiscard]] std::shared_ptr<const std::string> textBy(const Encode &encode) const
    {
        const std::lock_guard lock(m_held->mutex);
        if (m_held->text != nullptr)
            return m_held->text;
        auto text = std::make_shared<const std::string>(encode(m_held->value));
        if (m_held->keepsText)
            m_held->text = text;
        return text;
    }

    /** Keeps \a companion as long as the value, for example a reservation of its memory. To be
     * called before copies are made. Precondition: has_value(). */
    void attach(const std::shared_ptr<const void> &companion) const
    {
        m_held->companion = companion;
    }

    /** Frees the text. Called when the value is no longer the newest, since later messages seldom
     * carry it. */
    void forgetText() const
    {
        if (m_held == nullptr)
            return;
        const std::lock_guard lock(m_held->mutex);
        m_held->text.reset();
        m_held->keepsText = false;
    }

private:
    struct Held
    {
        explicit Held(T shared)
            : value(std::move(shared))
        {}

        const T value;
        mutable std::mutex mutex;
        mutable std::shared_ptr<const std::string> text;
        mutable bool keepsText = true;
        mutable std::shared_ptr<const void> companion;
    };

    std::shared_ptr<const Held> m_held;
};

} // namespace gentiancross
