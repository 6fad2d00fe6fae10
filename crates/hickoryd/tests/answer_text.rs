//! The rating service gets the text of an answer, whatever form the answer has.

use hickoryd::answer_text::answer_text;

/// Guards against ratings of JSON or event framing instead of the answer.
#[test]
fn text_is_taken_out_of_whole_answers_and_streams() {
    let whole = br#"{"choices":[{"index":0,"message":{"role":"assistant","content":"pH 4.1"}}]}"#;
    assert_eq!(answer_text(whole), "pH 4.1");
    let stream = b"data: {\"choices\":[{\"delta\":{\"content\":\"pH\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{\"content\":\" 4.1\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{}}]}\n\ndata: {\"choices\":[],\"usage\":{}}\n\n\
        data: [DONE]\n\n";
    assert_eq!(answer_text(stream), "pH 4.1");
    assert_eq!(answer_text(b"lot 7 is released"), "lot 7 is released");
}
