//! Tests of the command line, against a stand-in for the platform's service and a VM that answers admin queries.

use std::{
    ffi::OsString,
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
    time::Duration,
};

use bramleypier::{
    admin::{self, Query, Status},
    cli::{self, Exit, Output},
    timeline::{Duty, Event, Filter, Kind, Ring},
    util::{body::Body, server},
};
use bramleypier_standins::platform;
use compio::{net::TcpListener, runtime::Runtime};
use hyper::{Request, Response, body::Incoming};
use indexmap::IndexMap;

const DOCUMENT: &str = "[service]
name = a
[class orders]
methods = POST
idempotent = false
share = 40
[target t1]
address = 127.0.0.1:1
domain = d
";

fn run(arguments: &[&str]) -> Output {
    let arguments = arguments.iter().map(OsString::from);
    cli::parse(arguments).map_or_else(|output| output, cli::execute)
}

/// A temporary directory with an operator's settings and documents.
struct Workspace(tempfile::TempDir);

impl Workspace {
    fn new(platform: SocketAddr, vm: SocketAddr, seed: &str) -> Self {
        let workspace = Self(tempfile::tempdir().unwrap());
        let settings = format!(
            "[vm]\nname = vm-1\ndomain = d\n[listen]\ncallers = 127.0.0.1:0\npeers = {vm}\n\
             [platform]\naddress = {platform}\n[peers]\nseeds = {seed}\n"
        );
        workspace.write("vm.ini", &settings);
        workspace
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).unwrap();
    }

    /// Runs a command. `SETTINGS` and file names in the arguments become paths in this directory.
    fn run(&self, arguments: &[&str]) -> Output {
        let settings = self.path("vm.ini").display().to_string();
        let named: Vec<String> = arguments
            .iter()
            .map(|argument| match *argument {
                "SETTINGS" => settings.clone(),
                file if Path::new(file).extension().is_some() => {
                    self.path(file).display().to_string()
                }
                other => other.to_owned(),
            })
            .collect();
        run(&named.iter().map(String::as_str).collect::<Vec<_>>())
    }
}

async fn answer_query(request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = bramleypier::util::body::read(request.into_body(), 1 << 20).await;
    let mut ring = Ring::new("vm-1#1".to_owned(), 9);
    let range_moved = Event::new(Duty::Grantor, "move", Kind::RangeMoved).target("t1");
    ring.record(Duration::from_secs(1), range_moved);
    let bytes = match Query::read(&method, &path, &body.unwrap_or_default()) {
        Ok(Query::Status) => admin::to_json(&Status {
            vm: "vm-1#1".to_owned(),
            state: "serving".to_owned(),
            documents: IndexMap::from([("a".to_owned(), 1)]),
            ..Status::default()
        }),
        Ok(Query::Timeline(filter)) => admin::to_json(&ring.query(&filter)),
        Err(_) => return Response::builder().status(404).body(Body::empty()).unwrap(),
    };
    Response::new(Body::from(bytes.unwrap()))
}

/// Starts the stand-in and a VM on a thread that runs until the test process ends.
fn start() -> (SocketAddr, SocketAddr) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        Runtime::new().unwrap().block_on(async move {
            let platform = platform::spawn().await.unwrap();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender
                .send((platform, listener.local_addr().unwrap()))
                .unwrap();
            server::serve(listener, server::Control::default(), answer_query).await;
        });
    });
    receiver.recv().unwrap()
}

/// Returns an address that no process listens on.
fn unused_address() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

#[test]
fn help_of_each_command_has_an_example() {
    let commands: &[&[&str]] = &[
        &[],
        &["run"],
        &["check"],
        &["document"],
        &["document", "check"],
        &["document", "put"],
        &["document", "get"],
        &["document", "log"],
        &["document", "status"],
        &["status"],
        &["timeline"],
    ];
    for command in commands {
        let output = run(&[command, &["--help"][..]].concat());
        assert_eq!(output.exit, Exit::Done, "{command:?}");
        assert!(
            output.text.contains("Example:\n bramleypier "),
            "{command:?}: {}",
            output.text
        );
    }
}

#[test]
fn usage_and_settings_errors_exit_with_2() {
    let workspace = Workspace::new(unused_address(), unused_address(), "");
    workspace.write("bad.ini", "[vm]\ncolour = red\n");
    let cases: &[&[&str]] = &[
        &[],
        &["walk"],
        &["run"],
        &["document", "put", "--settings", "SETTINGS"],
        &["document", "get", "a"],
        &[
            "document",
            "put",
            "--base",
            "x",
            "a.ini",
            "--settings",
            "SETTINGS",
        ],
        &["check", "--settings", "bad.ini"],
        &["check", "--settings", "missing.ini"],
        &["status", "--settings", "bad.ini"],
        &["timeline", "--settings", "SETTINGS", "--since", "tomorrow"],
    ];
    for case in cases {
        let output = workspace.run(case);
        assert_eq!(output.exit, Exit::Usage, "{case:?}: {}", output.text);
        assert_eq!(
            output.text.trim_end().lines().count(),
            1,
            "{case:?}: {}",
            output.text
        );
    }
}

#[test]
fn check_reports_valid_and_invalid_documents() {
    let workspace = Workspace::new(unused_address(), unused_address(), "");
    workspace.write("a.ini", DOCUMENT);
    workspace.write("b.ini", "[service]\n");
    let output = workspace.run(&["check", "--settings", "SETTINGS", "a.ini"]);
    assert_eq!(output.exit, Exit::Done);
    assert!(
        output
            .text
            .ends_with("a.ini: sound: service=a classes=1 targets=1\n")
    );
    let output = workspace.run(&["document", "check", "a.ini", "b.ini"]);
    assert_eq!(output.exit, Exit::Failed);
    assert!(
        output
            .text
            .ends_with("b.ini:1: [service] name: missing key\n"),
        "{}",
        output.text
    );
}

#[test]
fn second_put_on_the_same_version_gets_a_conflict() {
    let (platform, vm) = start();
    let workspace = Workspace::new(platform, vm, "");
    workspace.write("a.ini", DOCUMENT);
    let put = [
        "document",
        "put",
        "a.ini",
        "--settings",
        "SETTINGS",
        "--by",
        "ana",
    ];
    let output = workspace.run(&put);
    assert_eq!(
        (output.exit, output.text.as_str()),
        (Exit::Done, "accepted version=1\n")
    );

    let got = workspace.run(&["document", "get", "a", "--settings", "SETTINGS"]);
    assert_eq!(got.text, format!("; version 1\n{DOCUMENT}"));
    workspace.write("ana.ini", &got.text.replace("40", "41"));
    workspace.write("eva.ini", &got.text.replace("40", "42"));
    let eva = [
        "document",
        "put",
        "eva.ini",
        "--settings",
        "SETTINGS",
        "--by",
        "eva",
    ];
    assert_eq!(workspace.run(&eva).text, "accepted version=2\n");
    let conflict = workspace.run(&["document", "put", "ana.ini", "--settings", "SETTINGS"]);
    assert_eq!(conflict.exit, Exit::Conflict);
    assert!(
        conflict
            .text
            .contains("based on version 1, but version 2 stands, put by eva at 20"),
        "{}",
        conflict.text
    );
    assert!(
        conflict.text.contains("-share = 42\n+share = 41\n"),
        "{}",
        conflict.text
    );

    workspace.write("bad.ini", &DOCUMENT.replace("127.0.0.1:1", "127.0.0.1:2"));
    let refused = [
        "document",
        "put",
        "bad.ini",
        "--settings",
        "SETTINGS",
        "--base",
        "2",
    ];
    assert_eq!(workspace.run(&refused).exit, Exit::Failed);
    let log = workspace.run(&["document", "log", "a", "--settings", "SETTINGS"]);
    let by = |line: &str| line.rsplit('=').next().unwrap_or_default().to_owned();
    assert_eq!(log.text.lines().map(by).collect::<Vec<_>>(), ["eva", "ana"]);
    let absent = workspace.run(&["document", "get", "b", "--settings", "SETTINGS"]);
    assert_eq!(absent.exit, Exit::Failed);

    let status = workspace.run(&["document", "status", "--settings", "SETTINGS"]);
    assert_eq!(status.text, "service=a version=2 vms=0/1 lagging=vm-1#1\n");
    assert_eq!(status.exit, Exit::Failed);
}

/// Makes the stand-in inject these faults, given as JSON.
fn inject(platform: SocketAddr, faults: &str) {
    let mut stream = TcpStream::connect(platform).unwrap();
    let length = faults.len();
    write!(
        stream,
        "POST /fault HTTP/1.1\r\nHost: p\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{faults}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 2"), "{answer}");
}

#[test]
fn put_with_a_lost_answer_is_resolved_by_reading_back() {
    let (platform, vm) = start();
    let workspace = Workspace::new(platform, vm, "");
    workspace.write("a.ini", DOCUMENT);
    inject(platform, "{\"lose_answers\": 1}");
    let output = workspace.run(&["document", "put", "a.ini", "--settings", "SETTINGS"]);
    assert_eq!(
        (output.exit, output.text.as_str()),
        (Exit::Done, "accepted version=1\n")
    );
    let log = workspace.run(&["document", "log", "a", "--settings", "SETTINGS"]);
    assert_eq!(log.text.lines().count(), 1, "{}", log.text);
}

#[test]
fn outage_is_reported_and_the_timeline_still_works() {
    let (_, vm) = start();
    let unreachable = unused_address();
    let workspace = Workspace::new(unused_address(), vm, &unreachable.to_string());
    workspace.write("a.ini", DOCUMENT);
    let output = workspace.run(&[
        "timeline",
        "--settings",
        "SETTINGS",
        "--svg",
        "a.svg",
        "--target",
        "t1",
    ]);
    assert_eq!(output.exit, Exit::Unreached);
    assert!(
        output
            .text
            .contains(" vm-1#1 duty=grantor step=move kind=range-moved target=t1\n")
    );
    assert!(output.text.contains(&format!(
        "not reached: {unreachable}; what it knows is missing\n"
    )));
    assert!(
        fs::read_to_string(workspace.path("a.svg"))
            .unwrap()
            .contains("range-moved")
    );
    let output = workspace.run(&["status", "--settings", "SETTINGS", "--json"]);
    assert!(
        output.text.contains("\"state\": \"serving\""),
        "{}",
        output.text
    );
    let output = workspace.run(&["document", "status", "--settings", "SETTINGS"]);
    assert!(
        output
            .text
            .contains("accepted versions are not known: step=list "),
        "{}",
        output.text
    );
    let output = workspace.run(&["document", "put", "a.ini", "--settings", "SETTINGS"]);
    assert_eq!(output.exit, Exit::Unreached);
    assert!(
        output.text.starts_with("nothing was changed: step=get "),
        "{}",
        output.text
    );
}

#[test]
fn admin_queries_are_parsed_or_rejected() {
    use hyper::Method;
    let filter = Filter {
        since: 7,
        ..Filter::default()
    };
    let body = admin::to_json(&filter).unwrap();
    let read = Query::read(&Method::POST, admin::TIMELINE_PATH, &body);
    assert_eq!(read, Ok(Query::Timeline(filter)));
    let empty = Query::read(&Method::POST, admin::TIMELINE_PATH, b"{}");
    assert_eq!(empty, Ok(Query::Timeline(Filter::default())));
    assert!(Query::read(&Method::POST, admin::TIMELINE_PATH, b"{\"x\":1}").is_err());
    assert!(Query::read(&Method::GET, "/admin/else", b"").is_err());
}
