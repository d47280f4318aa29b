//! Commands of the command-line tool.

use std::io::Read as _;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest as _, Sha256};
use tokio::time::Instant;

use crate::admin_types::{
    ApplyDocument, ApplyReply, ApplyRequest, AuditReport, CheckReply, HistoryReply, ListReply,
    StatusReply,
};
use crate::check_report::CheckReport;
use crate::cli_client::{CallError, CliClient};
use crate::cli_exit::CliExit;
use crate::cli_options::{self, CheckBase, CliCommand, CliOptions};
use crate::cli_output::CliOutput;
use crate::record_finding::RecordFinding;
use crate::record_reader::{self, RecordBatch};
use crate::{cli_check, ids};

/// Pause between two looks at the instances while waiting.
const WAIT_PAUSE: Duration = Duration::from_millis(200);
/// Longest token that is hashed, in bytes.
const TOKEN_BYTES_MAX: u64 = 4096;

/// Runs the command line and returns what to print and the exit code.
pub fn run(arguments: &[String], variable: impl Fn(&str) -> Option<String>) -> CliOutput {
    let options = match cli_options::parse(arguments, variable) {
        Ok(options) => options,
        Err(findings) => {
            let lines: Vec<String> =
                findings.iter().map(|line| format!("yuccareel: {line}\n")).collect();
            let hint = "yuccareel: see yuccareel --help\n";
            return CliOutput::failed(CliExit::Usage, lines.concat() + hint);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(command(&options)),
        Err(error) => CliOutput::failed(CliExit::Usage, format!("yuccareel: {error}\n")),
    }
}

async fn command(options: &CliOptions) -> CliOutput {
    let client = CliClient::new(&options.server, &options.token);
    let run = CliRun { options, client };
    match &options.command {
        CliCommand::Help => CliOutput::done(cli_options::help()),
        CliCommand::HashToken => hash_token(),
        CliCommand::Check { files, against } => run.check(files, against).await,
        CliCommand::Apply { files } => run.apply(files).await,
        CliCommand::Remove { kind, name } => {
            let removals = vec![(kind.clone(), Arc::from(name.as_str()))];
            run.change(Vec::new(), removals).await
        }
        CliCommand::Get { kind, name } => run.get(kind, name).await,
        CliCommand::List { kind } => run.list(kind.as_deref()).await,
        CliCommand::History { limit } => run.history(*limit).await,
        CliCommand::Status => run.status().await,
        CliCommand::Audit => run.audit().await,
    }
}

struct CliRun<'a> {
    options: &'a CliOptions,
    client: CliClient,
}

impl CliRun<'_> {
    async fn check(&self, files: &[String], against: &CheckBase) -> CliOutput {
        let documents = match read_files(files) {
            Ok(documents) => documents,
            Err(output) => return output,
        };
        let mut batch = RecordBatch::default();
        for document in &documents {
            match document {
                Ok(document) => batch.read_document(&document.file, &document.document),
                Err(finding) => batch.findings.push(finding.clone()),
            }
        }
        let report = match against {
            CheckBase::Nothing => cli_check::check_whole(&batch, None),
            CheckBase::File(file) => {
                let mut saved = RecordBatch::default();
                match read_files(std::slice::from_ref(file)).map(split) {
                    Err(output) => return output,
                    Ok((documents, findings)) => {
                        saved.findings = findings;
                        for document in documents {
                            saved.read_document(&document.file, &document.document);
                        }
                    }
                }
                cli_check::check_whole(&batch, Some((file, &saved)))
            }
            CheckBase::Server => match self.check_on_server(documents, &batch).await {
                Ok(report) => report,
                Err(error) => return CliOutput::call_error(&error, self.options.json),
            },
        };
        CliOutput::check(&report, self.options.json)
    }

    /// Checks files on top of the records in effect. The server judges faults; notes and
    /// differences are found here, so that any version of the server will do.
    async fn check_on_server(
        &self,
        documents: Vec<FileDocument>,
        batch: &RecordBatch,
    ) -> Result<CheckReport, CallError> {
        let (documents, mut findings) = split(documents);
        let request = ApplyRequest { documents, ..ApplyRequest::default() };
        findings.extend(self.client.post::<CheckReply>("check", &request).await?.findings);
        let in_effect = self.client.get::<ListReply>("records").await?;
        Ok(cli_check::check_onto(findings, batch, &in_effect))
    }

    async fn apply(&self, files: &[String]) -> CliOutput {
        let documents = match read_files(files) {
            Ok(documents) => documents,
            Err(output) => return output,
        };
        let (documents, findings) = split(documents);
        if !findings.is_empty() {
            return CliOutput::findings(&findings, self.options.json);
        }
        self.change(documents, Vec::new()).await
    }

    async fn change(
        &self,
        documents: Vec<ApplyDocument>,
        removals: Vec<(String, Arc<str>)>,
    ) -> CliOutput {
        let apply_id: ids::ApplyId = format!("{:032x}", rand::random::<u128>()).into();
        let request = ApplyRequest {
            author: self.options.author.clone(),
            apply_id: Some(apply_id.clone()),
            expected_sequence: self.options.expected_sequence,
            documents,
            removals,
        };
        let reply = match self.client.post::<ApplyReply>("apply", &request).await {
            Ok(reply) => reply,
            Err(error) => match self.recognise(&apply_id, error).await {
                Ok(reply) => reply,
                Err(error) => return CliOutput::change_error(&error, &apply_id, self.options.json),
            },
        };
        match self.options.wait {
            None => CliOutput::applied(&reply, self.options.json),
            Some(limit) => self.wait(&reply, limit).await,
        }
    }

    /// After a lost answer, looks for the change in the history.
    async fn recognise(
        &self,
        apply_id: &ids::ApplyId,
        error: CallError,
    ) -> Result<ApplyReply, CallError> {
        if error.exit() != CliExit::Unknown {
            return Err(error);
        }
        match self.client.find_change(apply_id).await {
            Ok(Some(sequence)) => {
                Ok(ApplyReply { sequence, apply_id: apply_id.clone(), unchanged: false })
            }
            // Absence proves nothing: the write may still be on its way.
            Ok(None) | Err(_) => Err(error),
        }
    }

    async fn wait(&self, reply: &ApplyReply, limit: Duration) -> CliOutput {
        let deadline = Instant::now() + limit;
        loop {
            let answer =
                tokio::time::timeout_at(deadline, self.client.get::<StatusReply>("status")).await;
            let behind = match answer {
                Ok(Ok(status)) => behind(&status, reply.sequence),
                Ok(Err(error)) => vec![error.to_string()],
                Err(elapsed) => vec![format!("no status: {elapsed}")],
            };
            if behind.is_empty() {
                return CliOutput::in_effect(reply, self.options.json);
            }
            if Instant::now() + WAIT_PAUSE >= deadline {
                return CliOutput::not_in_effect(reply, &behind, self.options.json);
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    async fn get(&self, kind: &str, name: &str) -> CliOutput {
        match self.client.get::<ListReply>(&format!("records/{kind}/{name}")).await {
            Ok(reply) if self.options.json => CliOutput::json(&reply),
            Ok(reply) => match record_reader::values_toml(&reply.records) {
                Ok(text) => CliOutput::done(text),
                Err(error) => CliOutput::failed(CliExit::Usage, format!("yuccareel: {error}\n")),
            },
            Err(error) => CliOutput::call_error(&error, self.options.json),
        }
    }

    async fn list(&self, kind: Option<&str>) -> CliOutput {
        let path = kind.map_or("records".to_owned(), |kind| format!("records/{kind}"));
        match self.client.get::<ListReply>(&path).await {
            Ok(reply) if self.options.json => CliOutput::json(&reply),
            Ok(reply) => CliOutput::records(&reply),
            Err(error) => CliOutput::call_error(&error, self.options.json),
        }
    }

    async fn history(&self, limit: usize) -> CliOutput {
        match self.client.get::<HistoryReply>(&format!("history?limit={limit}")).await {
            Ok(reply) if self.options.json => CliOutput::json(&reply),
            Ok(reply) => CliOutput::history(&reply),
            Err(error) => CliOutput::call_error(&error, self.options.json),
        }
    }

    async fn status(&self) -> CliOutput {
        match self.client.get::<StatusReply>("status").await {
            Ok(reply) if self.options.json => CliOutput::json(&reply),
            Ok(reply) => CliOutput::status(&reply),
            Err(error) => CliOutput::call_error(&error, self.options.json),
        }
    }

    async fn audit(&self) -> CliOutput {
        match self.client.get::<AuditReport>("audit").await {
            Ok(report) => CliOutput::audit(&report, self.options.json),
            Err(error) => CliOutput::call_error(&error, self.options.json),
        }
    }
}

/// Instances that do not yet have a sequence number in effect.
fn behind(status: &StatusReply, sequence: ids::ConfigSequence) -> Vec<String> {
    if status.instances.is_empty() {
        return vec!["the server names no instances".to_owned()];
    }
    let late = status.instances.iter().filter(|instance| instance.sequence < sequence);
    late.map(|instance| format!("{} has sequence {}", instance.name, instance.sequence)).collect()
}

type FileDocument = Result<ApplyDocument, RecordFinding>;

/// Parses files; a file that cannot be opened ends the command.
fn read_files(files: &[String]) -> Result<Vec<FileDocument>, CliOutput> {
    let mut documents = Vec::new();
    let mut unreadable = String::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => documents.push(
                record_reader::parse_file(file, &bytes)
                    .map(|document| ApplyDocument { file: Arc::from(file.as_str()), document }),
            ),
            Err(error) => unreadable.push_str(&format!("yuccareel: {file}: {error}\n")),
        }
    }
    if unreadable.is_empty() {
        Ok(documents)
    } else {
        Err(CliOutput::failed(CliExit::Usage, unreadable))
    }
}

fn split(documents: Vec<FileDocument>) -> (Vec<ApplyDocument>, Vec<RecordFinding>) {
    let (mut good, mut findings) = (Vec::new(), Vec::new());
    for document in documents {
        match document {
            Ok(document) => good.push(document),
            Err(finding) => findings.push(finding),
        }
    }
    (good, findings)
}

/// Hash of the token on standard input; one line end is not part of the token.
fn hash_token() -> CliOutput {
    let mut text = String::new();
    if let Err(error) = std::io::stdin().take(TOKEN_BYTES_MAX).read_to_string(&mut text) {
        return CliOutput::failed(CliExit::Usage, format!("yuccareel: standard input: {error}\n"));
    }
    let token = text.strip_suffix('\n').unwrap_or(&text);
    let token = token.strip_suffix('\r').unwrap_or(token);
    if token.is_empty() || token.contains(char::is_whitespace) {
        let message = "yuccareel: expected one token without spaces on standard input\n";
        return CliOutput::failed(CliExit::Usage, message.to_owned());
    }
    CliOutput::done(format!("{}\n", hex(&Sha256::digest(token.as_bytes()))))
}

/// Lower-case hexadecimal text.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
