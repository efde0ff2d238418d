#include "tests/clients/crowd_cases.h"

#include "tests/clients/job_bodies.h"

#include <sstream>
#include <utility>

namespace gentiancross::tests {

namespace {

using jobbodies::MaxBodyBytes;

constexpr std::size_t MebibyteBody = 1 << 20;
constexpr std::size_t HugeBody = 64 << 20;
constexpr HostLimits KeeperLimits = {96, 1024};
/** Of a keeper that stores jobs of the largest legal size. */
constexpr HostLimits JobKeeperLimits = {128, 1024};
constexpr HostLimits FewDescriptors = {48, 256};
constexpr HostLimits FewKeeperDescriptors = {96, 256};
constexpr char PutPath[] = "/config/put";
const std::string newJobPath = std::string("/q/") + ClientScript::JobNumberMark;

std::string head(const std::string &method, const std::string &path, const std::string &header)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token key\r\n"
            + header + "\r\n";
}

/** A request with a declared length of which \a sent bytes are sent. */
ClientScript declared(const std::string &path, std::size_t length, std::size_t sent)
{
    return {head("POST", path, "Content-Length: " + std::to_string(length) + "\r\n")
            + std::string(sent, '7')};
}

/** A chunked request without its last chunk. */
std::string chunked(const std::string &path, std::size_t length, std::size_t chunkBytes)
{
    std::string wire = head("POST", path, "Transfer-Encoding: chunked\r\n");
    std::ostringstream size;
    size << std::hex << chunkBytes;
    const std::string chunk = size.str() + "\r\n" + std::string(chunkBytes, '7') + "\r\n";
    for (std::size_t sent = 0; sent < length; sent += chunkBytes)
        wire += chunk;
    return wire;
}

/** The last part of the body arrives one byte at a time. */
ClientScript trickled(ClientScript script)
{
    constexpr std::size_t TrickledBytes = 1000;
    script.trickleFrom = script.wire.size() - TrickledBytes;
    return script;
}

ClientScript repeated(const std::string &request, int times, bool readsAnswers)
{
    ClientScript script;
    for (int time = 0; time < times; ++time)
        script.wire += request;
    script.readsAnswers = readsAnswers;
    return script;
}

ClientScript endlessHeader()
{
    ClientScript script{"POST /q/ HTTP/1.1\r\nX-Padding: " + std::string(1000, 'x')};
    return trickled(std::move(script));
}

/** Each client submits \a jobs different jobs with the same body. */
ClientScript submissions(const std::string &body, int jobs)
{
    return repeated(declaredRequest("POST", newJobPath, body), jobs, true);
}

CrowdCase jobCase(const std::string &name, ClientScript script, std::size_t crowd = 100)
{
    return {name, Target::Front, crowd, std::move(script), EntryLimits, 0, JobKeeperLimits};
}

/** All clients send the last byte of their request at the same moment. */
ClientScript simultaneous(ClientScript script)
{
    script.waitAt = script.wire.size() - 1;
    return script;
}

/** Operators' calls with a JSON body of 4 MiB: \a prefix, \a element again and again, \a suffix. */
CrowdCase documentCase(const std::string &name, const std::string &path, const std::string &prefix,
                       const std::string &element, const std::string &suffix)
{
    constexpr std::size_t DocumentBytes = 4 << 20;
    const std::string body = jobbodies::fill(prefix, element, suffix, DocumentBytes);
    return {name, Target::Control, 20, {declaredRequest("POST", path, body)}, KeeperLimits};
}

/** A chunked request of which one line, \a begin and what follows, never ends. */
ClientScript endlessLine(const std::string &begin)
{
    constexpr std::size_t LineBytes = 6000;
    return trickled({head("POST", "/q/1", "Transfer-Encoding: chunked\r\n") + begin
                     + std::string(LineBytes, 'x')});
}

/** Valid JSON: bodies that cost more memory when they are decoded, and when they are stored. */
std::vector<CrowdCase> validBodyCases()
{
    const std::string document = R"({"version":9,"services":[],"routes":[)";
    const std::string status = head("GET", newJobPath, "");
    return {
            jobCase("job-empty-steps", submissions(jobbodies::emptySteps(), 1)),
            jobCase("job-smallest-steps", submissions(jobbodies::smallestSteps(), 1)),
            jobCase("job-ordinary-steps", submissions(jobbodies::ordinarySteps(), 1)),
            jobCase("job-chunks", {chunkedRequest(newJobPath, jobbodies::ordinarySteps(), 512)}),
            jobCase("job-simultaneous", simultaneous(submissions(jobbodies::smallestSteps(), 1)),
                    200),
            jobCase("job-many-tasks", submissions(jobbodies::manyTasks(), 6)),
            jobCase("job-long-label", submissions(jobbodies::longLabel(), 6)),
            jobCase("job-unknown", repeated(status, 2000, true)),
            jobCase("job-get-body",
                    repeated(declaredRequest("GET", "/q/1", jobbodies::emptySteps()), 6, true)),
            jobCase("job-delete-body",
                    repeated(declaredRequest("DELETE", "/q/1", jobbodies::emptySteps()), 6, true)),
            {"front-chunk-extension", Target::Front, 200, endlessLine("5;x="), EntryLimits},
            {"front-trailer", Target::Front, 200, endlessLine("1\r\n7\r\n0\r\nX-Padding: "),
             EntryLimits},
            documentCase("control-zeros", PutPath, document, "0", "]}"),
            documentCase("control-empty-routes", PutPath, document, "{}", "]}"),
            documentCase("control-empty-keys", PutPath,
                         document + R"(],"tenants":[{"name":"a","api_keys":[)", R"("")", "]}]}"),
            documentCase("control-objects", PutPath, document + R"(],"other":[)", "{}", "]}"),
            documentCase("control-heartbeat", "/instances/w/heartbeat", R"({"labels":[)", "{}",
                         "]}"),
    };
}

} // namespace

std::string declaredRequest(const std::string &method, const std::string &path,
                            const std::string &body)
{
    return head(method, path, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string chunkedRequest(const std::string &path, const std::string &body, std::size_t chunkBytes)
{
    std::string wire = head("POST", path, "Transfer-Encoding: chunked\r\n");
    for (std::size_t offset = 0; offset < body.size(); offset += chunkBytes) {
        const std::string chunk = body.substr(offset, chunkBytes);
        std::ostringstream size;
        size << std::hex << chunk.size();
        wire += size.str() + "\r\n" + chunk + "\r\n";
    }
    return wire + "0\r\n\r\n";
}

std::vector<CrowdCase> crowdCases()
{
    const std::string status = head("GET", "/q/1", "");
    const std::string document = head("GET", "/config/get", "");
    const std::string metrics = head("GET", "/metrics", "");
    const std::string put = PutPath;
    std::vector<CrowdCase> cases = {
            {"front-whole", Target::Front, 200, declared("/q/1", MaxBodyBytes, MaxBodyBytes - 1),
             EntryLimits},
            {"front-pieces", Target::Front, 200,
             trickled(declared("/q/1", MaxBodyBytes, MaxBodyBytes - 1)), EntryLimits},
            {"front-complete", Target::Front, 200, declared("/q/1", MaxBodyBytes, MaxBodyBytes),
             EntryLimits},
            {"front-large-chunks",
             Target::Front,
             200,
             {chunked("/q/1", MaxBodyBytes, 32 << 10)},
             EntryLimits},
            {"front-small-chunks",
             Target::Front,
             200,
             {chunked("/q/1", MaxBodyBytes, 1)},
             EntryLimits},
            {"front-announced", Target::Front, 100, declared("/q/1", HugeBody, 8 << 20),
             EntryLimits},
            {"front-simply-sent",
             Target::Front,
             50,
             {chunked("/q/1", 16 << 20, 32 << 10)},
             EntryLimits},
            {"front-headers", Target::Front, 400, endlessHeader(), FewDescriptors},
            {"front-silent", Target::Front, 400, {}, FewDescriptors},
            {"front-unread", Target::Front, 200, repeated(status, 2000, false), EntryLimits},
            {"front-pipelined", Target::Front, 200, repeated(status, 2000, true), EntryLimits},
            {"ready-whole", Target::Ready, 200, declared("/", MaxBodyBytes, MaxBodyBytes - 1),
             EntryLimits},
            {"ready-silent", Target::Ready, 400, {}, FewDescriptors},
            {"control-whole", Target::Control, 200, declared(put, MebibyteBody, MebibyteBody - 1),
             KeeperLimits},
            {"control-small-chunks",
             Target::Control,
             200,
             {chunked(put, MebibyteBody, 16)},
             KeeperLimits},
            {"control-announced", Target::Control, 100, declared(put, HugeBody, 8 << 20),
             KeeperLimits},
            {"control-headers", Target::Control, 400, endlessHeader(), FewKeeperDescriptors},
            {"control-unread", Target::Control, 200, repeated(document, 20, false), KeeperLimits,
             MebibyteBody},
            {"peer-whole", Target::Peer, 200, declared("/rpc", MebibyteBody, MebibyteBody - 1),
             EntryLimits},
            {"peer-small-chunks",
             Target::Peer,
             200,
             {chunked("/rpc", MaxBodyBytes, 1)},
             EntryLimits},
            {"peer-announced", Target::Peer, 100, declared("/rpc", HugeBody, 8 << 20), EntryLimits},
            {"peer-silent", Target::Peer, 400, {}, FewDescriptors},
            {"metrics-whole", Target::Metrics, 200,
             declared("/metrics", MebibyteBody, MebibyteBody - 1), EntryLimits},
            {"metrics-unread", Target::Metrics, 200, repeated(metrics, 500, false), EntryLimits},
            {"metrics-silent", Target::Metrics, 400, {}, FewDescriptors},
    };
    const std::vector<CrowdCase> validBodies = validBodyCases();
    cases.insert(cases.end(), validBodies.begin(), validBodies.end());
    return cases;
}

} // namespace gentiancross::tests
