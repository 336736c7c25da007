//! Invalid configurations.

use serde_json::json;

use super::support::{config, listener, settings, spawn};

#[test]
fn an_invalid_configuration_ends_the_program_with_an_error_that_names_the_key() {
    let whole = config(settings(1), json!([]), listener().local_addr().unwrap());
    for (key, value, named) in [
        ("/listen", json!("here"), "configuration.listen"),
        ("/seed", json!("xyz"), "configuration.seed"),
        ("/limits/sockets", json!(3), "configuration.limits.sockets"),
        ("/known/members", json!(7), "configuration.known.members"),
        ("/settings/extra/slices", json!("many"), "configuration.settings.extra.slices"),
        ("/settings/extra/reach", json!(0), "configuration.settings.extra.reach"),
        ("/settings/limits/multiplex", json!(0), "configuration.settings.limits.multiplex"),
        ("/settings/classes/1/windowNs", json!(-1), "configuration.settings.classes[1].windowNs"),
        ("/settings/classes/0/effect", json!("odd"), "configuration.settings.classes[0].effect"),
        ("/settings/projects/0/name", json!(1), "configuration.settings.projects[0].name"),
    ] {
        let mut config = whole.clone();
        *config.pointer_mut(key).unwrap() = value;
        let run = spawn("", "bad-configuration", &config).wait_with_output().unwrap();
        let log = String::from_utf8(run.stderr).unwrap();
        assert!(!run.status.success() && log.contains(&format!("{named}: ")), "{key}: {log}");
    }
}
