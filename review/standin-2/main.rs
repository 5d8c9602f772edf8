//! Stand-ins of the platform, of servers and of clients, and the cases that are played with them.
//!
//! `cases CASE FOLDER` plays a case, and writes the record into the folder. It exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case couldn't run.

mod clients;
mod holders;
mod http;
mod json;
mod record;
mod reloads;
mod second_answers;
mod server;
mod store;
mod vm;

use std::{
    env, fs,
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use record::Record;
use store::Store;
use vm::Vm;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// The configuration: idempotent requests to `huvo11a`, which is divided by key, and orders to `wuno96b`.
pub const CONFIG: &str = r#"{"version":"r7","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
"header-timeout":"3000ms","idle-timeout":"15000ms"},"listeners":[{"host":"jepu9.example","rules":[
{"name":"r-b9wu3fe","kind":"idempotent","goal":"200ms","priority":2,"match":{"prefix":"/lepu270/"},
"action":{"service":"huvo11a","timeout":"500ms","max-attempts":2}},
{"name":"r-xd9dnn2","kind":"non_idempotent","goal":"800ms","priority":1,"match":{"prefix":"/xapu221/"},
"action":{"service":"wuno96b","timeout":"2000ms","max-attempts":2}}]}],"clusters":[
{"name":"huvo11a","health-path":"/health","max-conns":130,"protocol":"h1","tls":false,"sharded":true,"warm":"5s",
"grants":"direct"},
{"name":"wuno96b","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}]}"#;

/// Waits until all VMs are ready; returns whether they are.
pub fn wait_ready(vms: &[Vm]) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(15) {
        if vms.iter().all(Vm::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A folder for settings and logs, which is removed at the end.
struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    record.say(&format!("case={case} trouble={trouble}"));
    let temporary = env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let temporary = Folder(temporary);
    let store = Store::start();
    let verdict = match case.as_str() {
        "holders" => holders::play(&store, &temporary.0, &record, trouble),
        "reloads" => reloads::play(&store, &temporary.0, &record, trouble),
        "second_answers" => second_answers::play(&store, &temporary.0, &record, trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::NotRun(cause) => {
            record.say(&format!("not run: {cause}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
