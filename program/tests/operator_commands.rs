//! What operators ask of running VMs.

mod harness;

use std::{
    fs,
    path::Path,
    process::{Command, Output},
    time::Duration,
};

use bramleypier_platform_standin::store;
use bramleypier_util::clock::Clock;
use harness::play;
use tempfile::TempDir;

/// Runs a command of the program beside the runtime, which serves the stand-ins meanwhile.
async fn command(arguments: &[&str]) -> (i32, String) {
    let arguments: Vec<String> = arguments.iter().map(|&it| it.to_owned()).collect();
    let (tell, told) = futures_channel::oneshot::channel();
    std::thread::spawn(move || tell.send(run(&arguments)).ok());
    let output = told.await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    (output.status.code().unwrap(), text)
}

fn run(arguments: &[String]) -> Output {
    let program = env!("CARGO_BIN_EXE_bramleypier");
    Command::new(program).args(arguments).output().unwrap()
}

#[test]
fn status_and_time_line_cover_all_vms() {
    play(async |stage| {
        let first = stage.program.settings.to_str().unwrap();
        let second = harness::start_vm("vm-2", stage.store_address, Some(&stage.program));
        stage.until_ready_at(&second).await;
        stage.ask("GET", "/look/x", "id-1").await;
        Clock::real().sleep(Duration::from_millis(600)).await;

        let (code, text) = command(&["status", "--settings", first]).await;
        assert_eq!(code, 0, "{text}");
        for vm in ["vm-1 domain=z1 ready=true", "vm-2 domain=z1 ready=true"] {
            assert!(text.contains(vm), "{text}");
        }
        assert_eq!(text.matches("leading=true").count(), 1, "{text}");

        let (code, text) = command(&["timeline", "--settings", first, "--since", "10m"]).await;
        assert_eq!(code, 0, "{text}");
        let place = |part: &str| {
            text.find(part)
                .unwrap_or_else(|| panic!("{part} in {text}"))
        };
        assert!(place("vm-1 event=manager-elected") < place("vm-2 event=started"));
        let (_, text) = command(&["timeline", "--settings", first, "--request", "id-1"]).await;
        assert_eq!(text.lines().count(), 1, "{text}");

        // Neither needs the store.
        stage.store.set_fault(Some(store::Fault::Silent));
        Clock::real().sleep(Duration::from_millis(3500)).await;
        let (code, text) = command(&["status", "--settings", first]).await;
        assert_eq!(code, 0, "{text}");
        assert_eq!(text.matches("store=silent").count(), 2, "{text}");
        let (code, text) = command(&["timeline", "--settings", first]).await;
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("event=pulse-lost"), "{text}");

        drop(second);
        let (code, text) = command(&["status", "--settings", first]).await;
        assert_eq!(code, 4, "{text}");
        assert!(text.contains("not reached: vm-2"), "{text}");
    });
}

#[test]
fn status_and_time_line_tell_what_is_evacuated_and_cold() {
    play(async |stage| {
        let cold = &stage.servers[1];
        let entry = cold.entry_in("z1", "plain", "ready", Duration::from_secs(9));
        stage.store.put(&format!("servers/{}", cold.id), &entry);
        stage.store.put("op/evacuate/z2", b"{}");
        Clock::real().sleep(Duration::from_millis(600)).await;
        let settings = stage.program.settings.to_str().unwrap();
        let (_, text) = command(&["status", "--settings", settings]).await;
        assert!(text.contains(" evacuated=z2,for_ms:"), "{text}");
        assert!(text.contains(" cold=1"), "{text}");
        let (_, text) = command(&["timeline", "--settings", settings, "--since", "10m"]).await;
        assert!(text.contains("event=domain-evacuated domain=z2"), "{text}");
    });
}

#[test]
fn check_covers_the_template() {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/vm.ini");
    let check = |path: &Path| {
        run(&[
            "check".into(),
            "--settings".into(),
            path.to_str().unwrap().into(),
        ])
    };
    assert!(check(&template).status.success());
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("vm.ini");
    let text = fs::read_to_string(&template).unwrap();
    for (from, to, said) in [
        ("{{zone}}", "{{colour}}", "colour"),
        ("domain = ", "domian = ", "domian"),
        ("{{ip}}", "{{ip", "without"),
    ] {
        fs::write(&path, text.replace(from, to)).unwrap();
        let output = check(&path);
        let complaint = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{complaint}");
        assert!(complaint.contains(said), "{complaint}");
    }
}
