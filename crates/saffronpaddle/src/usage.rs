//! The text of `saffronpaddle --help`.

/// Lists the subcommands and their options.
pub const USAGE: &str = "\
saffronpaddle: an edge node that holds customers to their quotas before a shared back end

  saffronpaddle [run] [--operator FILE]   runs one edge node, configured by LB_CONFIG, LB_NAME, LB_LISTEN and LB_DISCOVERY;
                                          SAFFRONPADDLE_OPERATOR names the operator file if --operator is not given
  saffronpaddle check FILE                reports all errors of an operator file
  saffronpaddle call ADDRESS COMMAND      sends PING, INFO, LAMEDUCK or REJOIN to the admin address of a running node
  saffronpaddle demo [--listen ADDRESS]   runs one edge node and simulated app servers on loopback, without configuration
  saffronpaddle fleet SCENARIO            runs a scenario on real instances with simulated servers, all on loopback;
        [--seed N] [--json FILE]          SCENARIO is a file, or the name of a built-in one:
        [--instances N] [--rate N]        thirty, short, forty-cold, cold-thirty, cold-hundreds, calm, drains, etcd, flips,
                                          halves, apart
        [--seconds N] [--keep FOLDER]   [--roster] discovery, etcd or both overrides the source of the server list;
        [--servers N] [--table]           --table prints the counts of each second by side; --operator FILE is the operator
        [--operator FILE] [--program P]   file of the instances; --program runs another build of the program; --virtual
        [--virtual]                       runs only the decision modules of the fleet, in virtual time, with up to 10,000
                                          nodes and 100,000 servers if memory allows: about 180 bytes
                                          per node for each server that it knows, 50 for each peer
  saffronpaddle fleet counts LOGS...      adds up the counters that nodes wrote to their logs (log.counts_every_ms): a table,
        [--csv]                           or CSV with one line per node; LOGS are files or folders
  saffronpaddle fleet soak                runs fleets of 10 to 40 processes with random faults that overlap, and checks the
        [--seed N] [--runs N] [--short]   rules; for a seed that fails, prints the path of its requests through all logs and
        [--keep FOLDER] [--no-shrink]     shrinks the plan by leaving out faults; --keep-passed keeps the logs of seeds that
        [--keep-passed] [--plan]          pass, too; --plan prints the plans and plays none
        [--program P] [--preload LIBRARY] LIBRARY is preloaded and makes system calls fail, like tests/shim/failing_calls.c
  saffronpaddle --help | --version
";
