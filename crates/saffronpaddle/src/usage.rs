//! The text of `saffronpaddle --help`.

/// All subcommands and their options.
pub const USAGE: &str = "\
saffronpaddle: an edge node that holds customers to their quotas before a shared back end

  saffronpaddle [run] [--operator FILE]   one edge node, as LB_CONFIG, LB_NAME, LB_LISTEN and LB_DISCOVERY have it;
                                          SAFFRONPADDLE_OPERATOR names the operator file as --operator does
  saffronpaddle check FILE                tells all that is wrong with an operator file
  saffronpaddle call ADDRESS WORD         asks a running node at its operators' address: PING, INFO, LAMEDUCK or REJOIN
  saffronpaddle demo [--listen ADDRESS]   one edge node before stand-in app servers on loopback, nothing to set up
  saffronpaddle fleet SCENARIO            plays a scenario on real instances before stand-ins, all on loopback;
        [--seed N] [--json FILE]          a file, or the name of one that comes with the program:
        [--instances N] [--rate N]        thirty, short, forty-cold, cold-thirty, cold-hundreds, calm, drains, etcd, flips,
                                          halves, apart
        [--seconds N] [--keep FOLDER]   [--roster] reads from discovery, etcd or both, whatever the scenario says;
        [--servers N] [--table]           --table shows each second by side; --operator FILE is the instances' operator
        [--operator FILE] [--program P]   file; --program plays another build of the program; --virtual plays the decision
        [--virtual]                       modules of the fleet alone, in virtual time, up to 10,000
                                          nodes and 100,000 servers as memory allows: some 180 bytes
                                          for each server that each node knows, 50 for each peer
  saffronpaddle fleet counts LOGS...      adds up the figures that nodes told their logs (log.counts_every_ms): a table,
        [--csv]                           or CSV with a line a node; LOGS are files or folders
  saffronpaddle fleet soak                plays fleets of 10 to 40 processes with random faults that overlap, judged by the rules:
        [--seed N] [--runs N] [--short]   one that fails is told with the way of its requests through all logs, and is made
        [--keep FOLDER] [--no-shrink]     smaller by leaving out faults
        [--program P] [--preload LIBRARY] LIBRARY makes system calls fail, as tests/shim/failing_calls.c does
  saffronpaddle --help | --version
";
