# Starts a small deployment with the commands of the deploy file: four keepers and two entry hosts on
# loopback addresses. To be sourced; needs FOLDER (a temporary folder) and sets NET, PIDS.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
STANDINS=$ROOT/target/review-2
PIDS=()
declare -A PID_OF

# Chooses a second octet that no socket uses, so that all ports there are free.
choose_net() {
    local try
    for try in $(seq 1 40); do
        NET=$((RANDOM % 200 + 20))
        # Addresses there are in hexadecimal, the last octet first.
        grep -q "[0-9A-F][0-9A-F][0-9A-F][0-9A-F]$(printf '%02X' "$NET")7F:" /proc/net/tcp \
            || return 0
    done
}

# write_settings NAME IP ZONE ROLE BOOTSTRAP
write_settings() {
    local listen data
    if [ "$4" = keeper ]; then
        listen="{\"control\": \"$2:8180\"}"
        data="\"$FOLDER/$1\""
    else
        listen="{\"front\": \"$2:8183\", \"ready\": \"$2:8184\"}"
        data=null
    fi
    cat > "$FOLDER/$1.json" <<END
{"node": "$1", "role": "$4", "machine_class": "$4", "ip": "$2", "zone": "$3", "region": "r",
 "listen": $listen, "port_range": [7420, 7435],
 "seeds": ["127.$NET.1.1:8180", "127.$NET.1.2:8180", "127.$NET.1.3:8180"],
 "bootstrap": $5, "counts_as_loss": true, "data_dir": $data, "discovery": "registry", "entry": "vip",
 "heartbeat_ms": 1500, "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
 "bounds": {"contact_ms": 3000, "ack_ms": 4000, "grace_s": 6, "hold_max_ms": 10000, "stop_ms": 900,
            "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120},
 "orders": "call", "advice": "127.$NET.3.1:8182"}
END
}

# start_host NAME IP ZONE ROLE BOOTSTRAP
start_host() {
    write_settings "$@"
    mkdir -p "$FOLDER/$1"
    (cd "$ROOT" && GENTIANCROSS_BOOT="$FOLDER/$1.json" \
        GENTIANCROSS_FLEET_SECRET=between-hosts-of-one-cell \
        exec target/gentiancross cell >> "$FOLDER/$1.log" 2>&1) &
    PID_OF[$1]=$!
    PIDS+=($!)
}

start_cell() {
    local n
    choose_net
    for n in 1 2 3 4; do
        start_host "keeper-$n" "127.$NET.1.$n" "z$n" keeper true
    done
    for n in 1 2; do
        start_host "entry-$n" "127.$NET.2.$n" "z$n" entry true
    done
}

# Ends the processes that were started here, by their ids.
stop_all() {
    local pid
    exec 2> /dev/null # The shell reports each killed child.
    for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$FOLDER"
}
