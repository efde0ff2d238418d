#include "servers/report_html.h"

#include "servers/answer_encoder.h"
#include "servers/markup.h"
#include "servers/report_text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>

namespace gentiancross {

using namespace reporttext;

namespace {

constexpr char Style[] = R"css(
body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;max-width:60rem;padding:1rem;color:#1b1f24}
.verdict{padding:1rem 1.25rem;border-radius:.5rem;color:#fff}
.verdict h1{margin:0;font-size:1.7rem}.verdict p{margin:.25rem 0 0}
.good{background:#1a6b35}.bad{background:#a3201d}.incomplete{background:#7a4f00}
h2{font-size:1.15rem;margin:1.75rem 0 .5rem}ul.reasons{margin:.75rem 0;padding-left:1.25rem}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%;font-size:.9rem}
th,td{padding:.3rem .55rem;text-align:right;border-bottom:1px solid #d8dce1;white-space:nowrap}
th:first-child,td:first-child,td.text,th.text{text-align:left}td.wide{white-space:normal;min-width:11rem}
tr.bad-row td{background:#fbe9e8}.note{color:#57606a;font-size:.85rem;margin:.35rem 0}
svg{width:100%;height:auto;display:block}svg text{font:12px system-ui,sans-serif;fill:#57606a}
.key span{display:inline-block;width:.8rem;height:.8rem;margin:0 .3rem 0 .9rem;border-radius:2px}
)css";

constexpr std::array<const char *, 4> KindColours = {"#2f6fb0", "#8a6fb5", "#3c8f7c", "#b98a2b"};
constexpr char TooLongColour[] = "#a3201d";
constexpr char UncoveredColour[] = "#f3dfb8";
constexpr int PlotWidth = 520;
constexpr int PlotHeight = 170;
constexpr int PlotLeft = 40;
constexpr int PlotBottom = 22;
constexpr int PlotTop = 10;

/** Lays out the plot of the day: what was accepted in each half hour, by kind. */
class DayPlot
{
public:
    explicit DayPlot(const DailyReport &page)
        : m_page(page)
    {
        for (const TimeRow &row : page.times)
            m_most = std::max(m_most, acceptedIn(row));
    }

    [[nodiscard]] std::string draw() const
    {
        std::string svg = absl::StrFormat(
                R"(<svg viewBox="0 0 %d %d" role="img" aria-label="Requests accepted in each half hour">)",
                PlotWidth, PlotHeight);
        for (std::size_t index = 0; index < m_page.times.size(); ++index)
            svg += bar(index);
        svg += axes();
        return svg + "</svg>";
    }

private:
    static std::uint64_t acceptedIn(const TimeRow &row)
    {
        std::uint64_t sum = 0;
        for (const auto &[kind, count] : row.accepted)
            sum += count;
        return sum;
    }

    [[nodiscard]] double heightOf(std::uint64_t count) const
    {
        return static_cast<double>(count) * (PlotHeight - PlotBottom - PlotTop)
                / static_cast<double>(m_most);
    }

    [[nodiscard]] double left(std::size_t index) const
    {
        return PlotLeft
                + static_cast<double>(index) * (PlotWidth - PlotLeft)
                / static_cast<double>(std::max<std::size_t>(m_page.times.size(), 1));
    }

    static std::string rectangle(double x, double y, double width, double height,
                                 const char *colour)
    {
        return absl::StrFormat(R"(<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>)",
                               x, y, width, height, colour);
    }

    [[nodiscard]] std::string bar(std::size_t index) const
    {
        const TimeRow &row = m_page.times[index];
        const double x = left(index);
        const double width = left(index + 1) - x;
        std::string svg = "<g><title>" + timeOfDay(m_page.day, beginOf(row.halfHour))
                + absl::StrFormat(": %d accepted, %d waited too long</title>", acceptedIn(row),
                                  row.tooLong);
        if (row.minutesCovered < row.minutesPast)
            svg += rectangle(x, PlotTop, width, PlotHeight - PlotBottom - PlotTop, UncoveredColour);
        double y = PlotHeight - PlotBottom;
        for (const auto &[kind, count] : row.accepted) {
            const double height = heightOf(count);
            y -= height;
            svg += rectangle(x + 1, y, width - 2, height,
                             KindColours.at(static_cast<std::size_t>(kind)));
        }
        const double late = heightOf(std::min(row.tooLong, acceptedIn(row)));
        svg += rectangle(x + 1, y, width - 2, late, TooLongColour);
        return svg + "</g>";
    }

    [[nodiscard]] std::string axes() const
    {
        std::string svg
                = absl::StrFormat(R"(<path d="M%d %dV%dH%d" fill="none" stroke="#8c959f"/>)",
                                  PlotLeft, PlotTop, PlotHeight - PlotBottom, PlotWidth);
        absl::StrAppendFormat(&svg, R"(<text x="%d" y="%d" text-anchor="end">%d</text>)",
                              PlotLeft - 5, PlotTop + 10, m_most);
        absl::StrAppendFormat(&svg, R"(<text x="%d" y="%d" text-anchor="end">0</text>)",
                              PlotLeft - 5, PlotHeight - PlotBottom);
        constexpr std::size_t LabelEvery = 8;
        for (std::size_t index = 0; index < m_page.times.size(); index += LabelEvery)
            absl::StrAppendFormat(&svg, R"(<text x="%.1f" y="%d">%02d:00</text>)", left(index),
                                  PlotHeight - 5, index / 2);
        return svg;
    }

    const DailyReport &m_page;
    std::uint64_t m_most = 1;
};

std::string verdictBanner(const DailyReport &page)
{
    const char *const word = verdictName(page.verdict);
    std::uint64_t accepted = 0;
    std::uint64_t tooLong = 0;
    for (const ClassRow &row : page.classes) {
        accepted += row.cell.accepted;
        tooLong += row.tooLong;
    }
    std::string html = absl::StrFormat(
            R"(<div class="verdict %s"><h1>%s %s: %s</h1><p>%d requests accepted, %d waited too long; made at %s</p></div>)",
            word, page.isOver ? "" : "So far,", escapeMarkup(page.day.name), word, accepted,
            tooLong, timeOfDay(page.day, page.madeAtWall));
    html += R"(<ul class="reasons">)";
    for (const std::string &gap : page.gaps)
        absl::StrAppend(&html, "<li>Not known: ", escapeMarkup(gap), "</li>");
    for (const std::string &fault : page.faults)
        absl::StrAppend(&html, "<li>Bad: ", escapeMarkup(fault), "</li>");
    return html + "</ul>";
}

std::string dayPlot(const DailyReport &page)
{
    std::string html = "<h2>Accepted in each half hour</h2>" + DayPlot(page).draw();
    html += R"(<p class="note key">)";
    for (std::size_t kind = 0; kind < KindColours.size(); ++kind)
        absl::StrAppendFormat(&html, R"(<span style="background:%s"></span>%s)",
                              KindColours.at(kind), kindName(static_cast<WorkKind>(kind)));
    absl::StrAppendFormat(&html,
                          R"(<span style="background:%s"></span>waited too long)"
                          R"(<span style="background:%s"></span>ledger incomplete</p>)",
                          TooLongColour, UncoveredColour);
    return html;
}

/** A bar whose full width stands for all, with the part that was too long at its end. */
std::string waitBar(const ClassRow &row)
{
    constexpr double Width = 120.0;
    const double all = std::max<double>(static_cast<double>(row.cell.accepted), 1.0);
    const double late = std::min(static_cast<double>(row.tooLong) / all, 1.0) * Width;
    return absl::StrFormat(
            R"(<svg viewBox="0 0 120 10" style="min-width:7rem" role="img" aria-label="%d of %d too long"><rect width="%.1f" height="10" fill="#3c8f7c"/><rect x="%.1f" width="%.1f" height="10" fill="%s"/></svg>)",
            row.tooLong, row.cell.accepted, Width - late, Width - late, late, TooLongColour);
}

std::string waitTable(const DailyReport &page)
{
    std::string html
            = R"(<h2>Did work wait too long?</h2><div class="scroll"><table><tr>)"
              R"(<th>Team</th><th class="text">Work</th><th>Accepted</th><th>Too long</th>)"
              "<th>In time</th><th>Limit</th><th>Half waited</th><th>99 % waited</th>"
              "</tr>";
    for (const ClassRow &row : page.classes)
        absl::StrAppendFormat(
                &html,
                R"(<tr%s><td>%s</td><td class="text">%s</td><td>%d</td><td>%d</td><td>%s</td><td>%s</td><td>%s</td><td>%s</td></tr>)",
                row.isBad ? R"( class="bad-row")" : "", escapeMarkup(row.work.team.value()),
                className(row.work), row.cell.accepted, row.tooLong, waitBar(row),
                duration(row.bound), percentile(row.cell.waits, 50),
                percentile(row.cell.waits, 99));
    return html + "</table></div>";
}

std::string outcomeTable(const DailyReport &page)
{
    constexpr std::array<Outcome, 5> Shown = {Outcome::Done, Outcome::Failed, Outcome::NotRun,
                                              Outcome::Unknown, Outcome::Cancelled};
    std::string html = R"(<h2>What became of each request</h2><div class="scroll"><table><tr>)"
                       R"(<th>Team</th><th class="text">Work</th><th>Accepted</th>)";
    for (const Outcome outcome : Shown)
        absl::StrAppend(&html, "<th>", outcomeName(outcome), "</th>");
    html += "<th>open</th></tr>";
    for (const ClassRow &row : page.classes) {
        absl::StrAppendFormat(&html, R"(<tr><td>%s</td><td class="text">%s</td><td>%d</td>)",
                              escapeMarkup(row.work.team.value()), className(row.work),
                              row.cell.accepted);
        for (const Outcome outcome : Shown) {
            absl::StrAppend(&html, "<td>", endedWith(row.cell, outcome), "</td>");
        }
        absl::StrAppend(&html, "<td>", row.open, "</td></tr>");
    }
    return html
            + R"(</table></div><p class="note">Each accepted request is counted once, under the day of its acceptance.</p>)";
}

std::string fitTable(const DailyReport &page)
{
    std::string html = R"(<h2>Did it fit?</h2><div class="scroll"><table><tr><th>Data centre</th>)"
                       "<th>Accepted</th><th>Seconds in which work waited</th>"
                       "<th>Processors in use then</th></tr>";
    for (const DataCentreRow &row : page.dataCentres) {
        absl::StrAppend(&html, "<tr><td>", escapeMarkup(row.dataCentre.value()), "</td>");
        if (!row.hasReported) {
            html += R"(<td class="text" colspan="3">did not tell its ledger</td></tr>)";
            continue;
        }
        absl::StrAppendFormat(&html, "<td>%d</td><td>%d of %d</td><td>%s</td></tr>", row.accepted,
                              row.fit.waiting, row.fit.all,
                              row.fit.waiting == 0
                                      ? std::string("-")
                                      : absl::StrCat(utilisationPercent(row.fit), " %"));
    }
    return absl::StrCat(html, R"(</table></div><p class="note">)", page.facts.refused,
                        " requests were refused, since they could never fit, a queue was full or a "
                        "record could not be kept.</p>");
}

std::string shareTable(const DailyReport &page)
{
    std::string html = "<h2>Did every team get its fair part?</h2>";
    if (page.shares.empty())
        return html
                + R"(<p class="note">No team had to wait for room, so all got what they wanted.</p>)";
    html += R"(<div class="scroll"><table><tr><th>Team</th><th>Seconds in which it wanted more</th>)"
            "<th>Of these, short of its part</th><th>Worst lack, of all processors</th></tr>";
    for (const ShareRow &row : page.shares)
        absl::StrAppendFormat(
                &html, "<tr%s><td>%s</td><td>%d</td><td>%d (%d %%)</td><td>%.1f %%</td></tr>",
                row.isBad ? R"( class="bad-row")" : "", escapeMarkup(row.team.value()),
                row.samples.wantingMore, row.samples.belowFairShare,
                percentOf(row.samples.belowFairShare, row.samples.wantingMore),
                static_cast<double>(row.samples.worstShortfallPermille) / 10.0);
    return html + "</table></div>";
}

std::string longestTable(const DailyReport &page)
{
    std::string html = "<h2>The longest waits</h2>";
    if (page.facts.longest.empty())
        return html + R"(<p class="note">Nothing waited for a second or more.</p>)";
    html += R"(<div class="scroll"><table><tr><th>Request</th><th class="text">Work</th>)"
            R"(<th>Accepted</th><th>Waited</th><th class="text">For</th></tr>)";
    for (const LongWait &wait : page.facts.longest)
        absl::StrAppendFormat(
                &html,
                R"(<tr><td>%s</td><td class="text">%s</td><td>%s</td><td>%s</td><td class="text wide">%s</td></tr>)",
                escapeMarkup(wait.request.value()), className(wait.work),
                timeOfDay(page.day, wait.acceptedAtWall), duration(wait.waited),
                causeText(wait.cause));
    return html + "</table></div>";
}

} // namespace

std::string reportToHtml(const DailyReport &page)
{
    return absl::StrCat(
            R"(<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">)"
            R"(<meta name="viewport" content="width=device-width,initial-scale=1"><title>)",
            escapeMarkup(page.day.name), ": ", verdictName(page.verdict), "</title><style>", Style,
            "</style></head><body>", verdictBanner(page), dayPlot(page), waitTable(page),
            fitTable(page), shareTable(page), longestTable(page), outcomeTable(page),
            "</body></html>\n");
}

} // namespace gentiancross
