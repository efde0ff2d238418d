#include "main/timeline_picture.h"

#include "servers/markup.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <map>

namespace gentiancross {

namespace {

constexpr int ColumnWidth = 110;
constexpr int RowHeight = 22;
constexpr int HeadHeight = 34;
constexpr int TextWidth = 620;

/** Lays out one picture. */
class Picture
{
public:
    explicit Picture(const std::vector<Json::Value> &steps)
        : m_steps(steps)
    {
        for (const Json::Value &step : steps)
            m_columns.try_emplace(step["host"].asString(), 0);
        int column = 0;
        for (auto &[host, place] : m_columns)
            place = column++;
    }

    [[nodiscard]] std::string draw() const
    {
        const int columnsWidth = static_cast<int>(m_columns.size()) * ColumnWidth;
        const int height = HeadHeight + static_cast<int>(m_steps.size()) * RowHeight + RowHeight;
        std::string svg = absl::StrFormat(
                R"(<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">)",
                columnsWidth + TextWidth, height);
        for (const auto &[host, column] : m_columns)
            absl::StrAppendFormat(
                    &svg,
                    R"(<text x="%d" y="20" text-anchor="middle" font-weight="bold">%s</text><path d="M%d %dV%d" stroke="#d8dce1"/>)",
                    xOf(host), escapeMarkup(host), xOf(host), HeadHeight - 6, height);
        std::map<std::string, std::size_t> lastOfSubject;
        for (std::size_t row = 0; row < m_steps.size(); ++row) {
            const std::string subject = m_steps[row]["subject"].asString();
            const auto [last, isFirst] = lastOfSubject.try_emplace(subject, row);
            if (!isFirst)
                svg += line(last->second, row);
            last->second = row;
            svg += step(row, columnsWidth);
        }
        return svg + "</svg>\n";
    }

private:
    [[nodiscard]] int xOf(const std::string &host) const
    {
        return m_columns.at(host) * ColumnWidth + ColumnWidth / 2;
    }
    [[nodiscard]] int xOf(std::size_t row) const { return xOf(m_steps[row]["host"].asString()); }
    static int yOf(std::size_t row) { return HeadHeight + static_cast<int>(row) * RowHeight + 8; }

    [[nodiscard]] std::string line(std::size_t from, std::size_t to) const
    {
        return absl::StrFormat(R"(<path d="M%d %dL%d %d" stroke="#2f6fb0"/>)", xOf(from), yOf(from),
                               xOf(to), yOf(to));
    }

    [[nodiscard]] std::string step(std::size_t row, int textAt) const
    {
        const Json::Value &json = m_steps[row];
        return absl::StrFormat(
                R"(<circle cx="%d" cy="%d" r="4" fill="#2f6fb0"/><text x="%d" y="%d">%d  %s: %s</text>)",
                xOf(row), yOf(row), textAt, yOf(row) + 4, json["order"].asUInt64(),
                escapeMarkup(json["subject"].asString()), escapeMarkup(json["what"].asString()));
    }

    const std::vector<Json::Value> &m_steps;
    std::map<std::string, int> m_columns;
};

} // namespace

std::string drawTimeline(const std::vector<Json::Value> &steps)
{
    return Picture(steps).draw();
}

} // namespace gentiancross
